"""A host whose path to the store failed learns from its peers that there was no outage."""

from swifttrestle.errors import PlatformUnavailableError
from swifttrestle.internal.coordination.discovery import removals
from swifttrestle_standins.hosted.site import wait_until
from tests.hosted.sites import on_site


async def refuse_call(*_):
    """Replace a call to the store by a failure."""
    raise PlatformUnavailableError("unreachable")


@on_site(gateways=2)
async def test_a_host_whose_own_path_failed_removes_a_withdrawn_instance_at_once(site, monkeypatch):
    # Guards against holding back the removal as if the record had expired in an outage.
    monkeypatch.setattr(removals, "REREGISTRATION_SECONDS", 3600.0)
    isolated = site.gateways["g0"].gateway
    other = site.gateways["g1"].gateway
    for host in (isolated, other):
        await wait_until(lambda h=host: len(h.live_hosts()) == 2, "both hosts")
        # The other host reports the store as available only since its first answer.
        await wait_until(lambda h=host: h._discovery.count_store_seconds() > 1.0, "answers")
    call = isolated._store._call
    isolated._store._call = refuse_call
    await wait_until(lambda: isolated._discovery.store_unreachable, "store lost")
    isolated._store._call = call
    await wait_until(lambda: not isolated._discovery.store_unreachable, "store regained")
    site.unlist_upstream(site.upstreams["s0"])
    await wait_until(lambda: not other.knows_instance("s0"), "gone at the other host")
    await wait_until(lambda: not isolated.knows_instance("s0"), "gone at the isolated host")
    assert isolated.knows_instance("s1")
