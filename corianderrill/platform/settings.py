"""The settings file that the platform gives each process."""

import dataclasses
import os
import tomllib
from collections.abc import Mapping
from typing import Any

from corianderrill import names

PATH_VARIABLE = "CORIANDERRILL_SETTINGS"
METRICS_PORT_VARIABLE = "CORIANDERRILL_METRICS_PORT"
DEFAULT_METRICS_PORT = 9464


class SettingsError(Exception):
    """The file cannot be read, or a field that is needed is missing or wrong."""


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Limits that all hosts keep; times in seconds.

    `repeat_ratio` and `repeat_fixed` bound repeats to a service over all hosts in a
    sliding window. `drain_s` is how long a replica that is leaving is still there.
    """

    drain_s: float
    grace_s: float
    config_apply_s: float
    retry_ratio: float
    retry_slack: float


@dataclasses.dataclass(frozen=True, slots=True)
class HostSettings:
    """What one process is told at its start and when the file changes."""

    host: names.HostName
    zone: names.ZoneName
    listen_address: names.Address
    readiness_address: names.Address
    metrics_address: names.Address
    store_address: names.Address
    bounds: Bounds


def find_settings_path() -> str:
    """Return the path of the settings file; SettingsError where none is told."""
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise SettingsError(f"set {PATH_VARIABLE} to the path of the settings file")
    return path


def read_settings(path: str) -> HostSettings:
    """Read the file; SettingsError tells the field that is missing or wrong."""
    try:
        with open(path, "rb") as file:
            fields = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    listen_address = parse_address(_find(fields, "listen.front", str))
    return HostSettings(
        host=names.HostName(_find(fields, "node_name", str)),
        zone=names.ZoneName(_find(fields, "zone", str)),
        listen_address=listen_address,
        readiness_address=parse_address(_find(fields, "listen.ready_addr", str)),
        metrics_address=names.Address(listen_address.ip, _read_metrics_port()),
        store_address=parse_address(_find(fields, "platform.address", str)),
        bounds=Bounds(
            drain_s=_find(fields, "bounds.drain_ms", float) / 1000,
            grace_s=_find(fields, "bounds.grace_s", float),
            config_apply_s=_find(fields, "bounds.config_apply_ms", float) / 1000,
            retry_ratio=_find(fields, "bounds.retry_ratio", float),
            retry_slack=_find(fields, "bounds.retry_slack", float),
        ),
    )


def _read_metrics_port() -> int:
    text = os.environ.get(METRICS_PORT_VARIABLE, str(DEFAULT_METRICS_PORT))
    return parse_address(f"{METRICS_PORT_VARIABLE}:{text}").port


def _find(fields: Mapping[str, Any], name: str, kind: type) -> Any:
    value: Any = fields
    for key in name.split("."):
        value = value.get(key) if isinstance(value, Mapping) else None
    if kind is float and isinstance(value, int) and not isinstance(value, bool):
        return float(value)
    if not isinstance(value, kind):
        raise SettingsError(f"{name}: expected {kind.__name__}, found {value!r}")
    return value


def parse_address(text: str) -> names.Address:
    """Return the address of `IP:PORT`; SettingsError where it is none."""
    ip, _, port = text.rpartition(":")
    if not ip or not port.isdigit() or not 0 < int(port) < 65_536:
        raise SettingsError(f"expected IP:PORT, found {text!r}")
    return names.Address(ip, int(port))
