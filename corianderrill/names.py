"""Identifiers of everything that crosses a module or a process.

The two fleets use the same service, shard and workspace names for different
things. Each compound id therefore holds its fleet, so that ids of two fleets
never compare equal and never share a dictionary key, a pool or a metric label.
"""

import dataclasses
from typing import NewType

FleetName = NewType("FleetName", str)
ServiceName = NewType("ServiceName", str)
ShardName = NewType("ShardName", str)
WorkspaceLabel = NewType("WorkspaceLabel", str)
TemplateName = NewType("TemplateName", str)
HostName = NewType("HostName", str)
ZoneName = NewType("ZoneName", str)
RegionName = NewType("RegionName", str)
WorkspaceName = NewType("WorkspaceName", str)
Incarnation = NewType("Incarnation", str)
RequestId = NewType("RequestId", str)
ChangeId = NewType("ChangeId", str)
Revision = NewType("Revision", int)
IndexVersion = NewType("IndexVersion", int)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class ServiceId:
    """A service of one fleet."""

    fleet: FleetName
    name: ServiceName

    def __str__(self) -> str:
        return f"{self.fleet}/{self.name}"


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class ShardId:
    """A shard of one service."""

    service: ServiceId
    name: ShardName

    def __str__(self) -> str:
        return f"{self.service}/{self.name}"


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class WorkspaceId:
    """A workspace of one fleet."""

    fleet: FleetName
    label: WorkspaceLabel

    def __str__(self) -> str:
        return f"{self.fleet}/{self.label}"


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class SnapshotId:
    """One version of the indexes of one fleet, with its partition map."""

    fleet: FleetName
    version: IndexVersion

    def __str__(self) -> str:
        return f"{self.fleet}@{self.version}"


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Address:
    """An IP number and a port."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class ReplicaId:
    """One start of one backend server.

    The incarnation tells a replaced server from its predecessor on the same
    address.
    """

    fleet: FleetName
    host: HostName
    incarnation: Incarnation

    def __str__(self) -> str:
        return f"{self.fleet}/{self.host}#{self.incarnation}"


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class MemberId:
    """One start of one entry host."""

    host: HostName
    incarnation: Incarnation

    def __str__(self) -> str:
        return f"{self.host}#{self.incarnation}"
