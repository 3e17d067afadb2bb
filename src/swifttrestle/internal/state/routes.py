"""The route table, which finds the route with the longest matching path prefix of a host."""

import random
from collections import defaultdict

from swifttrestle.internal.state.declared import Configuration, Quota, Route, Workspace
from swifttrestle.internal.state.workspaces import WorkspaceKeys
from swifttrestle.internal.transport.targets import normalize_host


class RouteTable:
    """Finds routes by host and path prefix; built once per configuration version.

    A lookup walks up the path one segment at a time, so its cost depends on the depth of the path
    and not on the number of routes.
    """

    def __init__(self, configuration: Configuration) -> None:
        """Index the routes of a configuration."""
        self.configuration = configuration
        # None if callers need no key.
        self.keys: WorkspaceKeys | None = None
        if configuration.workspaces is not None:
            self.keys = WorkspaceKeys(configuration.workspaces)
        self._quotas = {
            item.name: item.quota
            for item in configuration.workspaces or ()
            if item.quota is not None
        }
        self._hosts: dict[str, dict[str, Route]] = defaultdict(dict)
        for route in configuration.routes:
            self._hosts[normalize_host(route.host)][route.prefix] = route

        self._priorities: dict[str, int] = {}
        for route in configuration.routes:
            for target in route.targets:
                known = self._priorities.get(target.service, route.priority)
                self._priorities[target.service] = min(known, route.priority)

    def find_gap_objectives(self) -> dict[str, float]:
        """Return the strictest objective for gaps in streams, in seconds, by service."""
        objectives: dict[str, float] = {}
        for route in self.configuration.routes:
            if route.gap_objective <= 0:
                continue
            for target in route.targets:
                known = objectives.get(target.service, route.gap_objective)
                objectives[target.service] = min(known, route.gap_objective)
        return objectives

    def is_urgent(self, route: Route, service: str, workspace: Workspace | None = None) -> bool:
        """Return whether no other requests to the service have a higher priority.

        A workspace's own priority overrides the route's, and is compared with those of the other
        workspaces.
        """
        if workspace is not None and workspace.priority is not None and self.keys is not None:
            highest = self.keys.highest_priority
            return highest is None or workspace.priority <= highest
        return route.priority <= self._priorities.get(service, route.priority)

    def find_quota(self, workspace: str) -> Quota | None:
        """Return the quota of a workspace, None without a limit or for an unknown workspace."""
        return self._quotas.get(workspace)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request, or None; `host` is as in its header."""
        prefixes = self._hosts.get(normalize_host(host))
        if prefixes is None:
            return None
        end = len(path)
        while (slash := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: slash + 1])
            if route is not None:
                return route
            end = slash
        return None


def pick_service(route: Route, rng: random.Random) -> str:
    """Return a random service of the route, by the declared weights."""
    if len(route.targets) == 1:
        return route.targets[0].service
    names = [target.service for target in route.targets]
    weights = [target.weight for target in route.targets]
    return rng.choices(names, weights)[0]
