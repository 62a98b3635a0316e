"""Builders of registrations, replicas, routes, configurations and views."""

import random

from corianderrill import metrics, names
from corianderrill.gateway import (
    aggregators,
    connections,
    crash_watch,
    demand,
    quarantine,
    rate_limits,
    replicas,
    routes,
    view,
)
from corianderrill.platform import requests

DRAIN_FALLBACK_S = 1.2
LAPSED_FALLBACK_S = 2.0
HOST = "leno.example"
ZONE = names.ZoneName("zone-a")


def build_registration(
    instance="i-1",
    service="shard-1",
    zone="zone-a",
    state=replicas.ReplicaState.READY,
    address=None,
    slots=2,
    warmup_s=0.0,
    started_at_ms=None,
    write_number=0,
):
    address = address or names.Address("10.0.0.1", 8000)
    return replicas.Registration(
        replicas.InstanceId(instance),
        names.ServiceName(service),
        address,
        names.ZoneName(zone),
        slots,
        state,
        warmup_s,
        started_at_ms,
        write_number,
    )


def build_replica(**fields):
    return replicas.Replica(build_registration(**fields), 0.0)


def build_view(drain_fallback_s=DRAIN_FALLBACK_S):
    return view.View(
        drain_fallback_s=drain_fallback_s, lapsed_fallback_s=LAPSED_FALLBACK_S
    )


def build_aggregator_directory(host="front-1"):
    return aggregators.AggregatorDirectory(names.HostName(host))


def build_demand_directory(host="front-1", host_count=1.0):
    return demand.DemandDirectory(names.HostName(host), host_count)


def build_rate_limits(log, host="front-1", host_count=1.0):
    directory = build_demand_directory(host, host_count)
    return rate_limits.RateLimits(directory, log, metrics.Recorder(), random.Random(1))


def build_quarantine():
    return quarantine.Quarantine(random.Random(1))


def build_crash_watch(view, log, clock, check=lambda address, report: None):
    """Return a watch whose check of an address calls nothing, unless told."""
    return crash_watch.CrashWatch(
        build_quarantine(),
        view,
        log,
        metrics.Recorder(),
        clock,
        check,
    )


def build_limited_reply(limit, status=200):
    """Return a reply that names a limit: text, a number, or None for no limit."""
    text = limit if isinstance(limit, bytes) else str(limit).encode()
    headers = [] if limit is None else [(b"server-limit", text)]
    return requests.decode_reply(connections.RawReply(status, headers, b""))


def decode_warmup(text):
    """Return what a reply says with this text for how long its replica is cold."""
    headers = [(b"x-warmup-ms", text)]
    return requests.decode_reply(connections.RawReply(200, headers, b"")).warmup


def build_route(
    target=None,
    prefix="/a/",
    retry_safety=routes.RetrySafety.IDEMPOTENT,
    timeout_s=0.8,
    goal_s=0.09,
    max_attempts=2,
    name="r-1",
    priority=1,
    is_public=False,
):
    return routes.Route(
        name=routes.RouteName(name),
        host=HOST,
        prefix=prefix,
        target=target or routes.SingleService(names.ServiceName("shard-1")),
        retry_safety=retry_safety,
        timeout_s=timeout_s,
        goal_s=goal_s,
        priority=priority,
        max_attempts=max_attempts,
        is_public=is_public,
    )


def build_workspace(name="kami", priority=0, requests_per_s=None):
    return routes.Workspace(names.WorkspaceName(name), priority, requests_per_s)


def build_configuration(
    *route_list,
    version=1,
    services=("shard-1",),
    max_connections=26,
    workspaces_by_key=None,
):
    return routes.build_configuration(
        routes.ConfigurationVersion(version),
        route_list or (build_route(),),
        tuple(
            routes.Service(names.ServiceName(name), max_connections)
            for name in services
        ),
        routes.CallerLimits(),
        workspaces_by_key
        and {routes.digest_key(k): w for k, w in workspaces_by_key.items()},
    )


def list_ready_ids(gateway_view, service="shard-1"):
    return [replica.id for replica in gateway_view.list_ready(service)]


def list_fallback_ids(gateway_view, now, service="shard-1"):
    return [replica.id for replica in gateway_view.list_fallback(service, now)]
