"""Reads the settings file that the platform writes for each process."""

import dataclasses
import os
import re
import socket
import tomllib
from collections.abc import Mapping
from typing import Any

from corianderrill import names

PATH_VARIABLE = "CORIANDERRILL_SETTINGS"
METRICS_PORT_VARIABLE = "CORIANDERRILL_METRICS_PORT"
DEFAULT_METRICS_PORT = 9464
BYTES_PER_MB = 1_000_000
_PORT = re.compile(r"[0-9]{1,5}")


class SettingsError(Exception):
    """The settings can't be read, or a required field is missing or invalid."""


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaBounds:
    """How far the requests of a workspace may exceed its quota.

    In each window of `window_s` seconds, all hosts together may execute its quota,
    increased by the ratio `excess`, and `slack` requests more.
    """

    window_s: float
    excess: float
    slack: float


@dataclasses.dataclass(frozen=True, slots=True)
class WarmupBounds:
    """How far the requests to a cold replica may exceed its limit, in each second.

    All hosts together may send its limit times the ratio `excess`, and `slack` more.
    """

    excess: float
    slack: float


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Limits that apply to all hosts; times are in seconds.

    `drain_s` is how long a draining replica keeps serving. `grace_s` is the time that
    a process has to stop after SIGTERM. `config_apply_s` is the time within which a
    host has to apply a new configuration. The retries and hedges to a service, summed
    over all hosts in a sliding window, are limited to `retry_ratio` of its requests
    plus `retry_slack`. `quota` is None where workspaces have no quotas, `warmup` where
    cold replicas have no limit, and `evacuate_s`, the time within which requests to an
    evacuated zone have to stop, where no zone is evacuated.
    """

    drain_s: float
    grace_s: float
    config_apply_s: float
    retry_ratio: float
    retry_slack: float
    quota: QuotaBounds | None = None
    warmup: WarmupBounds | None = None
    evacuate_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class HostSettings:
    """The settings of one process; it reads them at its start and when they change.

    `listen_address` is where callers send their requests, `aggregation_address` where
    other hosts send queries; it is None if the platform leaves no port for that.
    `capacity_cores` is the processor time that the host has, in cores; `zone_count` is
    the number of availability zones of the site. `max_memory_bytes` and
    `max_descriptors` are what the process may use, None if that is not known.
    """

    host: names.HostName
    zone: names.ZoneName
    listen_address: names.Address
    readiness_address: names.Address
    metrics_address: names.Address
    store_address: names.Address
    bounds: Bounds
    aggregation_address: names.Address | None
    capacity_cores: float
    zone_count: int
    zones: Mapping[names.ZoneName, names.RegionName] = dataclasses.field(
        default_factory=dict
    )
    max_memory_bytes: int | None = None
    max_descriptors: int | None = None

    def list_listen_addresses(self) -> tuple[names.Address | None, ...]:
        """Return the addresses that the process listens on, None for one it has not."""
        return (
            self.listen_address,
            self.readiness_address,
            self.metrics_address,
            self.aggregation_address,
        )


def find_settings_path() -> str:
    """Return the path of the settings file. Raise SettingsError if it is not set."""
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise SettingsError(f"set {PATH_VARIABLE} to the path of the settings file")
    return path


def read_settings(path: str) -> HostSettings:
    """Read the settings file.

    Raise SettingsError if it can't be read or a field is missing or invalid.
    """
    try:
        with open(path, "rb") as file:
            document = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    listen_address = parse_address(_get_field(document, "listen.front", str))
    return HostSettings(
        host=names.HostName(_get_field(document, "node_name", str)),
        zone=names.ZoneName(_get_field(document, "zone", str)),
        listen_address=listen_address,
        readiness_address=parse_address(_get_field(document, "listen.ready_addr", str)),
        metrics_address=names.Address(listen_address.ip, _read_metrics_port()),
        store_address=parse_address(_get_field(document, "platform.address", str)),
        bounds=Bounds(
            drain_s=_get_field(document, "bounds.drain_ms", float) / 1000,
            grace_s=_get_field(document, "bounds.grace_s", float),
            config_apply_s=_get_field(document, "bounds.config_apply_ms", float) / 1000,
            retry_ratio=_get_field(document, "bounds.retry_ratio", float),
            retry_slack=_get_field(document, "bounds.retry_slack", float),
            quota=_find_quota_bounds(document),
            warmup=_find_warmup_bounds(document),
            evacuate_s=_find_evacuation_time(document),
        ),
        aggregation_address=_find_aggregation_address(document, listen_address.ip),
        capacity_cores=_find_capacity_cores(document),
        zone_count=len(document.get("zones", ())),
        zones=_find_zones(document),
        max_memory_bytes=_find_limit(document, "memory_mb", BYTES_PER_MB),
        max_descriptors=_find_limit(document, "max_fds", 1),
    )


def _find_quota_bounds(document: Mapping[str, Any]) -> QuotaBounds | None:
    if "quota_window_s" not in document["bounds"]:
        return None
    return QuotaBounds(
        window_s=_get_field(document, "bounds.quota_window_s", float),
        excess=_get_field(document, "bounds.quota_excess", float),
        slack=_get_field(document, "bounds.quota_slack", float),
    )


def _find_warmup_bounds(document: Mapping[str, Any]) -> WarmupBounds | None:
    if "warmup_excess" not in document["bounds"]:
        return None
    return WarmupBounds(
        excess=_get_field(document, "bounds.warmup_excess", float),
        slack=_get_field(document, "bounds.warmup_slack", float),
    )


def _find_evacuation_time(document: Mapping[str, Any]) -> float | None:
    if "evacuate_ms" not in document["bounds"]:
        return None
    return _get_field(document, "bounds.evacuate_ms", float) / 1000


def _find_zones(
    document: Mapping[str, Any],
) -> Mapping[names.ZoneName, names.RegionName]:
    zones = document.get("zones")
    if not isinstance(zones, Mapping):
        return {}
    return {
        names.ZoneName(zone): names.RegionName(str(region))
        for zone, region in zones.items()
    }


def _find_limit(document: Mapping[str, Any], name: str, unit: int) -> int | None:
    """Return a limit of the process in a unit; None if the platform names none."""
    limits = document.get("limits", {})
    if name not in limits:
        return None
    return int(_get_field(document, f"limits.{name}", float) * unit)


def _find_aggregation_address(
    document: Mapping[str, Any], ip: str
) -> names.Address | None:
    """Return the first of the ports that are free for traffic between hosts."""
    if not document.get("port_range"):
        return None
    first_port, *_ = _get_field(document, "port_range", list)
    return parse_address(f"{ip}:{first_port}")


def _find_capacity_cores(document: Mapping[str, Any]) -> float:
    if "limits" not in document:
        return 0.0
    share = _get_field(document, "limits.cpu_share", float)
    return share * _get_field(document, "limits.cores", float)


def _read_metrics_port() -> int:
    port = os.environ.get(METRICS_PORT_VARIABLE, str(DEFAULT_METRICS_PORT))
    return _parse_port(f"{METRICS_PORT_VARIABLE}={port}", port)


def _get_field(document: Mapping[str, Any], name: str, expected_type: type) -> Any:
    value: Any = document
    for key in name.split("."):
        value = value.get(key) if isinstance(value, Mapping) else None
    if (
        expected_type is float
        and isinstance(value, int)
        and not isinstance(value, bool)
    ):
        return float(value)
    if not isinstance(value, expected_type):
        raise SettingsError(
            f"{name}: expected {expected_type.__name__}, found {value!r}"
        )
    return value


def parse_address(text: str) -> names.Address:
    """Parse an address of the form IP:PORT, with an IPv4 address.

    Raise SettingsError if it is another. A host name is refused, since looking it up
    would block the process.
    """
    ip, _, port = text.rpartition(":")
    if not _is_ipv4_address(ip):
        raise SettingsError(f"expected IP:PORT with an IPv4 address, found {text!r}")
    return names.Address(ip, _parse_port(text, port))


def _is_ipv4_address(text: str) -> bool:
    try:
        socket.inet_pton(socket.AF_INET, text)
    except (OSError, ValueError):
        return False
    return True


def _parse_port(text: str, port: str) -> int:
    """Return the port that ends `text`. Raise SettingsError if it is none."""
    if not _PORT.fullmatch(port) or not 0 < int(port) < 65_536:
        raise SettingsError(
            f"expected a port from 1 to 65535 at the end of {text[:200]!r}"
        )
    return int(port)
