"""Decides which workspace a request belongs to, from its key or its entry host.

The configuration that routed the request decides, so that a key and a route are always
judged by the same version.
"""

import dataclasses
import enum
from collections.abc import Sequence

from corianderrill import names
from corianderrill.gateway import routes, send_order, workspace_ranks
from corianderrill.platform import requests

NO_WORKSPACE = names.WorkspaceName("")


class KeyFault(enum.Enum):
    """What is wrong with the key of a request; the values are logged."""

    MISSING = "no-key"
    UNKNOWN = "unknown-key"


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The request may be served; `rank` names its workspace."""

    rank: send_order.Rank


@dataclasses.dataclass(frozen=True, slots=True)
class Denied:
    """The request has no key that is known."""

    fault: KeyFault


def authenticate(
    selected: routes.SelectedRoute, headers: Sequence[tuple[str, str]]
) -> Accepted | Denied:
    """Decide which workspace the request of a caller belongs to.

    Requests on public routes belong to none, also those with a key.
    """
    configuration = selected.configuration
    if not configuration.has_workspaces:
        return Accepted(send_order.NO_WORKSPACES)
    if selected.route.is_public:
        return Accepted(workspace_ranks.compute_rank(selected, NO_WORKSPACE))
    key = requests.parse_key(headers)
    if key is None:
        return Denied(KeyFault.MISSING)
    workspace = configuration.find_workspace(key)
    if workspace is None:
        return Denied(KeyFault.UNKNOWN)
    return Accepted(workspace_ranks.compute_rank(selected, workspace.name))


def accept_delegated(
    selected: routes.SelectedRoute, headers: Sequence[tuple[str, str]]
) -> Accepted:
    """Return the rank of a delegated query, whose workspace the entry host names."""
    if not selected.configuration.has_workspaces:
        return Accepted(send_order.NO_WORKSPACES)
    workspace = requests.parse_workspace(headers)
    return Accepted(workspace_ranks.compute_rank(selected, workspace))
