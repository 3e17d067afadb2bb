"""A host whose path to the store was cut learns from its peers what the store went through."""

from swifttrestle.errors import PlatformUnavailableError
from swifttrestle.internal.coordination import removals
from swifttrestle_standins.hosted.site import wait_until
from tests.hosted.sites import on_site


async def refuse_call(*_):
    """Stand in for a call over a path that is cut."""
    raise PlatformUnavailableError("cut off")


@on_site(gateways=2)
async def test_a_host_whose_own_path_was_cut_takes_a_withdrawn_instance_for_gone(site, monkeypatch):
    # Two hosts lost their path to the store for four seconds. A second after it was back an
    # instance withdrew its record; the hosts that had kept their path dropped it within 0.1 s, the
    # two held it for 2.81 s ("removal held back" 9.73, "instance gone" 12.56) as if it had lapsed
    # in an outage, and sent it requests 2.18 and 2.37 s after its word (bound 2.0 s).
    monkeypatch.setattr(removals, "RETURN_SECONDS", 3600.0)
    cut = site.gateways["g0"].gateway
    other = site.gateways["g1"].gateway
    for host in (cut, other):
        await wait_until(lambda h=host: len(h.live_hosts()) == 2, "both hosts")
        # The other host can vouch only for the time since the store first answered it.
        await wait_until(lambda h=host: h._discovery.count_store_seconds() > 1.0, "answers")
    call = cut._store._call
    cut._store._call = refuse_call
    await wait_until(lambda: cut._discovery.store_unreachable, "store lost")
    cut._store._call = call
    await wait_until(lambda: not cut._discovery.store_unreachable, "store regained")
    site.unlist_upstream(site.upstreams["s0"])
    await wait_until(lambda: not other.knows_instance("s0"), "gone at the other host")
    await wait_until(lambda: not cut.knows_instance("s0"), "gone at the host that was cut off")
    assert cut.knows_instance("s1")
