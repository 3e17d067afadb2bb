"""When the host list shows that a host is gone."""

from swifttrestle.errors import PlatformUnavailableError
from swifttrestle.internal.coordination.membership.hosts import HostTracker
from swifttrestle.internal.protocol.platform import HostRecord
from tests.common.fakes import FakeClock

LAG_SECONDS = 10.0


class Hosts:
    """A host list that a test sets; None is an outage."""

    names = ("h1", "h2")

    def read_hosts(self):
        if self.names is None:
            raise PlatformUnavailableError("down")
        return tuple(HostRecord(name, "z", "live") for name in self.names)


def make_tracker():
    hosts, clock = Hosts(), FakeClock()
    tracker = HostTracker(hosts, clock, LAG_SECONDS)
    tracker.refresh()
    return hosts, clock, tracker


def pass_time(clock, tracker, seconds):
    for _ in range(int(seconds)):
        clock.time += 1
        tracker.refresh()


def test_a_listed_host_is_not_gone():
    _, clock, tracker = make_tracker()
    pass_time(clock, tracker, 50)
    assert not tracker.is_gone("h1")


def test_an_unlisted_host_is_gone_once_the_lag_has_passed():
    hosts, clock, tracker = make_tracker()
    hosts.names = ("h2",)
    tracker.refresh()
    assert not tracker.is_gone("h1")
    pass_time(clock, tracker, LAG_SECONDS)
    assert not tracker.is_gone("h1")
    pass_time(clock, tracker, 1)
    assert tracker.is_gone("h1")


def test_a_host_that_was_never_seen_is_gone_after_the_lag_as_well():
    _, clock, tracker = make_tracker()
    assert not tracker.is_gone("h9")
    pass_time(clock, tracker, LAG_SECONDS + 1)
    assert tracker.is_gone("h9")


def test_time_without_a_list_does_not_count():
    hosts, clock, tracker = make_tracker()
    assert not tracker.is_gone("h9")
    for names in (None, ()):
        hosts.names = names
        pass_time(clock, tracker, 30)
        assert not tracker.is_gone("h9")
    hosts.names = ("h1",)
    tracker.refresh()
    assert not tracker.is_gone("h9")
    pass_time(clock, tracker, LAG_SECONDS + 1)
    assert tracker.is_gone("h9")


def test_a_host_that_is_listed_again_is_not_gone():
    _, clock, tracker = make_tracker()
    tracker.is_gone("h9")
    pass_time(clock, tracker, LAG_SECONDS + 1)
    tracker._hosts.names = ("h1", "h9")
    tracker.refresh()
    assert not tracker.is_gone("h9")
