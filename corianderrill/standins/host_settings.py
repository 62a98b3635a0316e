"""The settings file that the users' platform writes for a host."""

import dataclasses
from collections.abc import Mapping

_SETTINGS = """
node_name = "{name}"
zone = "{zone}"
port_range = {port_range}
[listen]
front = "{listen_address}"
ready_addr = "{readiness_address}"
[bounds]
drain_ms = {drain_ms}
grace_s = {grace_s}
config_apply_ms = {config_apply_ms}
retry_ratio = {retry_ratio}
retry_slack = {retry_slack}
{bound_lines}
[zones]
{zone_lines}
[limits]
cpu_share = {cpu_share}
cores = 1
{limit_lines}
[platform]
address = "{store_address}"
"""


@dataclasses.dataclass(frozen=True, slots=True)
class HostSettingsFile:
    """The values of a settings file that the platform writes for one host.

    `more_bounds` and `more_limits` are further fields of these sections.
    """

    name: str
    zone: str
    listen_address: str
    readiness_address: str
    store_address: str
    drain_ms: int
    grace_s: int
    config_apply_ms: int
    retry_ratio: float
    retry_slack: int
    port_range: list[int] = dataclasses.field(default_factory=list)
    cpu_share: float = 1.0
    zones: tuple[str, ...] = ()
    more_bounds: Mapping[str, float] = dataclasses.field(default_factory=dict)
    more_limits: Mapping[str, float] = dataclasses.field(default_factory=dict)

    def render(self) -> str:
        """Return the text of the file."""
        zone_lines = "\n".join(f'{zone} = "region"' for zone in self.zones)
        return _SETTINGS.format(
            **dataclasses.asdict(self),
            zone_lines=zone_lines,
            bound_lines=_render_fields(self.more_bounds),
            limit_lines=_render_fields(self.more_limits),
        )


def _render_fields(fields: Mapping[str, float]) -> str:
    return "\n".join(f"{name} = {value}" for name, value in fields.items())
