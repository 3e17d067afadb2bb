"""The route table: the route of a host with the longest prefix of the path."""

import random
from collections import defaultdict

from swifttrestle.internal.state.declared import Configuration, Route, Workspace
from swifttrestle.internal.state.workspaces import WorkspaceKeys


class RouteTable:
    """Finds routes by host and prefix; built once for each configuration version.

    A look-up walks up the path one segment at a time, so its cost grows with the depth of
    the path and not with the number of routes.
    """

    def __init__(self, configuration: Configuration) -> None:
        """Index the routes of a configuration."""
        self.configuration = configuration
        # None where callers need no key.
        self.keys: WorkspaceKeys | None = None
        if configuration.workspaces is not None:
            self.keys = WorkspaceKeys(configuration.workspaces)
        self._hosts: dict[str, dict[str, Route]] = defaultdict(dict)
        for route in configuration.routes:
            self._hosts[route.host][route.prefix] = route

        self._priorities: dict[str, int] = {}
        for route in configuration.routes:
            for target in route.targets:
                known = self._priorities.get(target.service, route.priority)
                self._priorities[target.service] = min(known, route.priority)

    def is_urgent(self, route: Route, service: str, workspace: Workspace | None = None) -> bool:
        """Return whether nobody's requests to the service have a higher priority than these.

        A workspace's own priority takes the place of the route's, and is compared with those of
        the other workspaces.
        """
        if workspace is not None and workspace.priority is not None and self.keys is not None:
            highest = self.keys.highest_priority
            return highest is None or workspace.priority <= highest
        return route.priority <= self._priorities.get(service, route.priority)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request, or None; `host` may carry a port."""
        prefixes = self._hosts.get(host.partition(":")[0].lower())
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
    """Return a service of the route, drawn by the declared weights."""
    if len(route.targets) == 1:
        return route.targets[0].service
    names = [target.service for target in route.targets]
    weights = [target.weight for target in route.targets]
    return rng.choices(names, weights)[0]
