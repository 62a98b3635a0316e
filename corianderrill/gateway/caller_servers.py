"""The servers for callers and for other hosts, and what they may take together."""

import dataclasses
from collections.abc import Callable

from corianderrill import metrics
from corianderrill.gateway import (
    caller_connections,
    caller_log,
    caller_resources,
    reply_reader,
    routes,
    shared_state,
)
from corianderrill.platform import settings

# Other hosts add headers to those of the caller.
HOST_HEADER_BYTES = 65_536


def build_servers(
    host_settings: settings.HostSettings, shared: shared_state.SharedState
) -> tuple[caller_connections.Server, caller_connections.Server]:
    """Return the server for callers and the one for other hosts."""
    limits = caller_resources.derive_limits(
        host_settings.max_memory_bytes, host_settings.max_descriptors
    )

    def get_caller_limits() -> routes.CallerLimits:
        configuration = shared.view.configuration
        return routes.CallerLimits() if configuration is None else configuration.limits

    def get_greatest_message_bytes() -> int:
        caller_limits = get_caller_limits()
        return max(
            caller_limits.max_header_bytes + caller_limits.max_body_bytes,
            reply_reader.MAX_REPLY_BODY_BYTES,
        )

    def record_eviction(
        reason: caller_resources.Reason, stage: caller_resources.Stage, held_bytes: int
    ) -> None:
        shared.meter.count(
            metrics.GATEWAY_CONNECTIONS_EVICTED, reason.value, stage.value
        )
        shared.log.record(
            caller_log.CallerEvicted(reason.value, stage.value, held_bytes)
        )

    memory = caller_resources.InputMemory(
        limits.max_input_bytes, get_greatest_message_bytes, record_eviction
    )

    def get_host_limits() -> routes.CallerLimits:
        caller_limits = get_caller_limits()
        return dataclasses.replace(
            caller_limits,
            max_header_bytes=caller_limits.max_header_bytes + HOST_HEADER_BYTES,
        )

    def build(
        max_connections: int, get_limits: Callable[[], routes.CallerLimits]
    ) -> caller_connections.Server:
        return caller_connections.Server(
            caller_resources.ConnectionSlots(max_connections, memory),
            memory,
            get_limits,
            shared.log,
            shared.meter,
        )

    return (
        build(limits.max_caller_connections, get_caller_limits),
        build(limits.max_host_connections, get_host_limits),
    )
