"""The host list as a proof of death."""

from swifttrestle.errors import PlatformUnavailableError
from swifttrestle.internal.coordination.hosts import HostTracker
from swifttrestle.internal.protocol.platform import HostRecord
from tests.common.fakes import FakeClock

LAG = 10.0


class Hosts:
    """A host list that a test writes; None is an outage."""

    names = ("h1", "h2")

    def read_hosts(self):
        if self.names is None:
            raise PlatformUnavailableError("down")
        return tuple(HostRecord(name, "z", "live") for name in self.names)


def make_book():
    hosts, clock = Hosts(), FakeClock()
    book = HostTracker(hosts, clock, LAG)
    book.refresh()
    return hosts, clock, book


def pass_time(clock, book, seconds):
    for _ in range(int(seconds)):
        clock.time += 1
        book.refresh()


def test_a_listed_host_lives():
    _, clock, book = make_book()
    pass_time(clock, book, 50)
    assert not book.is_gone("h1")


def test_a_host_off_the_list_is_gone_once_the_lag_has_passed():
    hosts, clock, book = make_book()
    hosts.names = ("h2",)
    book.refresh()
    assert not book.is_gone("h1")
    pass_time(clock, book, LAG)
    assert not book.is_gone("h1")
    pass_time(clock, book, 1)
    assert book.is_gone("h1")


def test_a_host_that_was_never_seen_is_gone_after_the_lag_as_well():
    _, clock, book = make_book()
    assert not book.is_gone("h9")
    pass_time(clock, book, LAG + 1)
    assert book.is_gone("h9")


def test_time_without_a_list_proves_nothing():
    hosts, clock, book = make_book()
    assert not book.is_gone("h9")
    for names in (None, ()):
        hosts.names = names
        pass_time(clock, book, 30)
        assert not book.is_gone("h9")
    hosts.names = ("h1",)
    book.refresh()
    assert not book.is_gone("h9")
    pass_time(clock, book, LAG + 1)
    assert book.is_gone("h9")


def test_a_host_that_comes_back_lives():
    _, clock, book = make_book()
    book.is_gone("h9")
    pass_time(clock, book, LAG + 1)
    book._hosts.names = ("h1", "h9")
    book.refresh()
    assert not book.is_gone("h9")
