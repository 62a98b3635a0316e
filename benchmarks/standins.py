"""One process of stand-ins: the platform, or the backend servers of some zones.

It prints one line of JSON with its addresses and then serves until it is ended.
"""

import eventlet

eventlet.monkey_patch()

import argparse  # noqa: E402

import eventlet.wsgi  # noqa: E402
import msgspec  # noqa: E402

from benchmarks import banners, fanouts  # noqa: E402
from corianderrill import keyvalue, names  # noqa: E402
from corianderrill.standins import (  # noqa: E402
    control,
    deployments,
    publishing,
    site,
)

LOOPBACK = "127.0.0.1"


def main() -> None:
    """Serve what the arguments ask for."""
    options = parse_arguments()
    shown = site.Site(
        shown=tuple(
            fanouts.resize(deployment, options.fan_out)
            if options.fan_out
            else deployment
            for deployment in deployments.DEPLOYMENTS
            if deployment.fleet in options.fleet
        ),
        seed=options.seed,
        service_s=options.service_s,
        load_lag_s=options.load_lag_s,
        zones=frozenset(options.zone),
    )
    listener = eventlet.listen((LOOPBACK, 0))
    banner = banners.Banner(names.Address(*listener.getsockname()[:2]))
    if options.zone:
        banner.servers = shown.start_servers(LOOPBACK)
    else:
        shown.start_platform(LOOPBACK)
        publish(shown, options.workspace)
        banner.key_value = shown.key_value_address
        banner.host_list = shown.host_list_address
    print(msgspec.json.encode(banner).decode(), flush=True)
    application = control.ControlApplication(shown)
    eventlet.wsgi.server(listener, application, log_output=False)


def publish(shown: site.Site, labels: list[str]) -> None:
    """Publish the example templates for every workspace."""
    workspaces = [
        names.WorkspaceId(deployment.fleet, names.WorkspaceLabel(label))
        for deployment in shown.deployments
        for label in labels
    ]
    client = keyvalue.connect(shown.key_value_address)
    publishing.publish_examples(client, workspaces)


def parse_arguments() -> argparse.Namespace:
    """Return the arguments of the process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--fleet", action="append", required=True)
    parser.add_argument("--zone", action="append", default=[])
    parser.add_argument("--workspace", action="append", default=[])
    parser.add_argument("--fan-out", type=int)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--service-s", type=float, default=0.008)
    parser.add_argument("--load-lag-s", type=float, default=0.0)
    return parser.parse_args()


if __name__ == "__main__":
    main()
