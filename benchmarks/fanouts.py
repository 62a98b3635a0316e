"""Deployments with another fan-out, for slopes of processor time and memory."""

import dataclasses

from corianderrill.standins import deployments

LOOKUP_SHARE = 0.4
SLOTS = 32
CONNECTIONS = 400
ROWS_PER_SHARD = 40


def resize(deployment: deployments.Deployment, fan_out: int) -> deployments.Deployment:
    """Return a deployment of one zone and one entry host whose queries ask
    `fan_out` shards, each at one replica that is never full.
    """
    lookup, intake, *others = deployment.services
    lookup_shards = round(fan_out * LOOKUP_SHARE)
    return dataclasses.replace(
        deployment,
        zones=deployment.zones[:1],
        services=(
            _resize_service(lookup, lookup_shards),
            _resize_service(intake, fan_out - lookup_shards),
            *others,
        ),
        entry_hosts=1,
    )


def _resize_service(
    shape: deployments.ServiceShape, shards: int
) -> deployments.ServiceShape:
    return dataclasses.replace(
        shape,
        shards=shards,
        replicas=1,
        slots=SLOTS,
        connections=CONNECTIONS,
        rows=shards * ROWS_PER_SHARD,
    )
