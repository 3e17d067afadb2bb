"""A host goes on serving when a background task that it can do without fails.

Guards against a host that ended, and refused or reset its callers' new connections.
"""

from swifttrestle.internal import background_tasks
from swifttrestle_standins.hosted.site import wait_until
from swifttrestle_standins.hosted.upstreams import make_content
from tests.common.http import ask
from tests.hosted.sites import address_of, on_site


class Failing:
    """Raises an error at the first call, and counts the calls."""

    def __init__(self, method):
        self.calls = 0
        self._method = method

    def __call__(self, *args, **kwargs):
        self.calls += 1
        if self.calls == 1:
            raise KeyError("gone")
        return self._method(*args, **kwargs)


@on_site()
async def test_a_path_check_of_an_upstream_that_has_just_left_does_nothing(site):
    # It leaves between the choice of the path and the first step of its check.
    await site.gateways["g0"].gateway._relaying.own._check("left")


@on_site()
async def test_a_host_whose_path_checks_failed_once_goes_on_serving_and_checking(site, monkeypatch):
    gateway = site.gateways["g0"].gateway
    monkeypatch.setattr(background_tasks, "RESTART_SECONDS", 0.05)
    paths = gateway._relaying.own.paths
    paths.retain = failing = Failing(paths.retain)
    await wait_until(lambda: failing.calls > 1, "checked again")
    assert gateway._metrics.snapshot()["tasks_restarted_total{task=path checks}"] == 1
    assert gateway.is_ready()
    answer = await ask(address_of(site), "/card/a", "c1", method="GET")
    assert (answer.status, answer.body) == (200, make_content("c1"))
