"""The duties after the store is restored from a copy that lacks the latest writes."""

import asyncio

import pytest

from swifttrestle_standins.hosted.site import wait_until
from tests.hosted.sites import restore_store
from tests.hosted.test_duties import (
    WINDOW_SECONDS,
    on_duty_site,
    send,
    sum_reported,
    wait_for_holder,
    wait_for_usage,
)


def list_holders(site):
    """Return the hosts that act as holders of the duty lease."""
    return [
        name
        for name, item in site.gateways.items()
        if not item.task.done()
        and item.gateway._duties.lease.lease is not None
        and item.gateway._gossip.candidates.holds_duty_lease
    ]


@pytest.mark.parametrize("outage_seconds", [0.0, 0.4, 2.0])
@on_duty_site(gateways=3)
async def test_usage_reports_continue_after_a_restore_and_none_is_sent_twice(site, outage_seconds):
    # The copy does not contain the lease.
    copy = site.store.copy_contents()
    await wait_for_holder(site)
    await send(site, 3)
    await wait_for_usage(site, {"club": 3})
    await restore_store(site, copy, outage_seconds)
    await send(site, 2, "g1")
    await wait_for_usage(site, {"club": 5})
    assert len(list_holders(site)) == 1


@on_duty_site(gateways=3)
async def test_a_window_that_a_lost_holder_may_have_reported_is_not_reported_again(
    site,
):
    holder = await wait_for_holder(site)
    copy = site.store.copy_contents()
    await send(site, 3, holder)
    await wait_for_usage(site, {"club": 3})
    window = next(number for number, counts in site.duties.reports.items() if counts)
    for name, item in site.gateways.items():
        if name != holder:
            # Counts that reach the other hosts after the report.
            item.gateway._duties.usage.meter.note("club", window)
    site.gateways[holder].task.cancel()
    await restore_store(site, copy, 0.4)
    await wait_until(lambda: list_holders(site), "another holder")
    other = list_holders(site)[0]
    await send(site, 2, other)
    await wait_until(lambda: sum_reported(site).get("club", 0) >= 5, "reports of later windows")
    await asyncio.sleep(2 * WINDOW_SECONDS)
    print([(c.holder, c.token, c.body) for c in site.duties.calls if c.body.get("counts")])
    assert sum_reported(site) == {"club": 5}


@pytest.mark.parametrize("outage_seconds", [0.0, 0.4])
@on_duty_site(gateways=3)
async def test_the_last_holder_takes_the_lease_again_after_a_restore(site, outage_seconds):
    copy = site.store.copy_contents()
    holder = await wait_for_holder(site)
    epoch = site.store.epoch
    await restore_store(site, copy, outage_seconds)

    def is_taken():
        known = site.store.objects.get(("swifttrestle-leases", "roles"))
        return known is not None and known["spec"].get("epoch") == epoch + 1

    await wait_until(is_taken, "the lease in the new epoch")
    await wait_until(lambda: list_holders(site), "the holder's write to be answered")
    assert list_holders(site) == [holder]


@on_duty_site(gateways=3)
async def test_usage_reports_continue_after_all_hosts_stop_and_the_store_loses_writes(site):
    await wait_for_holder(site)
    copy = site.store.copy_contents()
    await send(site, 3)
    await wait_for_usage(site, {"club": 3})
    for running in site.gateways.values():
        running.task.cancel()
    site.store.restore(copy)
    site.store.repeat_all_writes()
    for number in (7, 8):
        await site.add_gateway(f"g{number}", number)
    await site.wait_ready("g7", "g8")
    assert site.gateways["g7"].gateway.config_version == site._version
    await send(site, 2, "g7")
    await wait_until(lambda: sum_reported(site).get("club", 0) >= 5, "reports of later windows")
