"""The repeats that all hosts together may make while some do not hear the others."""

import asyncio

import pytest

from swifttrestle.internal.coordination.membership.gossip import HEARTBEAT_SECONDS
from tests.common import steady_loop
from tests.hosted.lost_hosts import HOSTS, MODEL, OLD, build_play


def count_allowed(play):
    """Return the repeats that all hosts together would make at once, by the extra alone."""
    now = asyncio.get_running_loop().time()
    budgets = [item.gateway._budgets.find(MODEL) for item in play.site.gateways.values()]
    for budget in budgets:
        budget._requests.clear()
    return sum(1 for budget in budgets for _ in range(10_000) if budget.take(now))


async def allow_while_cut(groups):
    """Cut groups of hosts off from each other; return the repeats allowed, and their bound."""
    play = await build_play(OLD)
    try:
        # Each host counts those that it has heard.
        await asyncio.sleep(1.5)
        for group in groups:
            play.cut_off(*group)
        for group in (*groups, play.list_up()):
            await play.wait_alone(*group)
        # Their budgets follow within a heartbeat.
        await asyncio.sleep(HEARTBEAT_SECONDS * 2)
        return count_allowed(play), play.site.gateways[HOSTS[0]].gateway._budgets.extra
    finally:
        await play.site.stop()


@pytest.mark.parametrize(
    "groups",
    [
        (HOSTS[:1],),
        (HOSTS[:2],),
        (HOSTS[:2], HOSTS[2:]),
        tuple((host,) for host in HOSTS),
    ],
    ids=["one host", "two hosts", "two halves", "each host alone"],
)
def test_hosts_that_do_not_hear_each_other_stay_within_one_budget(groups):
    # Guards against a host that takes those it no longer hears for gone.
    allowed, extra = steady_loop.run(allow_while_cut(groups))
    assert 0 < allowed <= extra, (allowed, extra)
