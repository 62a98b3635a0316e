"""The rank of a request among others that wait for the same replica."""

from corianderrill import names
from corianderrill.gateway import routes, send_order

# Where no workspace has a limit, all have the same weight.
DEFAULT_WEIGHT = 1.0


def compute_rank(
    selected: routes.SelectedRoute, workspace_name: names.WorkspaceName
) -> send_order.Rank:
    """Return the rank of a request of a workspace; the name is empty if it has none.

    The priority of a workspace goes before that of the route. Its weight is its limit
    in requests per second; without one, the mean of the others.
    """
    configuration = selected.configuration
    workspace = configuration.workspaces_by_name.get(workspace_name)
    weight = configuration.mean_workspace_requests_per_s or DEFAULT_WEIGHT
    if workspace is None:
        return send_order.Rank(selected.route.priority, workspace_name, weight)
    return send_order.Rank(
        workspace.priority, workspace_name, workspace.requests_per_s or weight
    )
