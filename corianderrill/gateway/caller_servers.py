"""The servers for callers and for other hosts, and what they may take together."""

import dataclasses
import functools
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
    memory = caller_resources.BufferMemory(
        limits.max_buffer_bytes,
        functools.partial(_get_greatest_message_bytes, shared),
        functools.partial(_record_eviction, shared),
    )
    return (
        _build_server(
            shared,
            caller_resources.ConnectionSlots(limits.max_caller_connections, memory),
            memory,
            functools.partial(_get_caller_limits, shared),
        ),
        _build_server(
            shared,
            caller_resources.ConnectionSlots(limits.max_host_connections, memory),
            memory,
            functools.partial(_get_host_limits, shared),
        ),
    )


def _build_server(
    shared: shared_state.SharedState,
    slots: caller_resources.ConnectionSlots,
    memory: caller_resources.BufferMemory,
    get_limits: Callable[[], routes.CallerLimits],
) -> caller_connections.Server:
    return caller_connections.Server(
        slots, memory, get_limits, shared.log, shared.meter
    )


def _get_caller_limits(shared: shared_state.SharedState) -> routes.CallerLimits:
    configuration = shared.view.configuration
    return routes.CallerLimits() if configuration is None else configuration.limits


def _get_host_limits(shared: shared_state.SharedState) -> routes.CallerLimits:
    caller_limits = _get_caller_limits(shared)
    return dataclasses.replace(
        caller_limits,
        max_header_bytes=caller_limits.max_header_bytes + HOST_HEADER_BYTES,
    )


def _get_greatest_message_bytes(shared: shared_state.SharedState) -> int:
    caller_limits = _get_caller_limits(shared)
    return max(
        caller_limits.max_header_bytes + caller_limits.max_body_bytes,
        reply_reader.MAX_REPLY_BODY_BYTES,
    )


def _record_eviction(
    shared: shared_state.SharedState,
    reason: caller_resources.Reason,
    stage: caller_resources.Stage,
    held_bytes: int,
) -> None:
    shared.meter.count(metrics.GATEWAY_CONNECTIONS_EVICTED, reason.value, stage.value)
    shared.log.record(caller_log.CallerEvicted(reason.value, stage.value, held_bytes))
