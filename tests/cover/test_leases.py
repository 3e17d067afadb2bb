"""Leases: when a process may act under one, and how lost answers are handled."""

import pytest

from swifttrestle.errors import ConflictError, LeaseLostError
from swifttrestle.internal.coordination.duties.leases import LEASE, Holder, LeaseManager, make_fence
from swifttrestle.internal.coordination.store.conditional_writes import update_object, write_once
from tests.common.fakes import FakeApi, FakeCache, FakeClock

DURATION_SECONDS, MARGIN_SECONDS = 9.0, 1.0


class Contenders:
    """Two processes that contend for one lease."""

    def __init__(self):
        self.clock = FakeClock()
        self.api = FakeApi()
        self.one = self.make("one", 1)
        self.two = self.make("two", 1)

    def make(self, name, incarnation):
        cache = FakeCache(self.api, self.clock)
        me = Holder(name, f"host-{name}", incarnation)
        return LeaseManager(
            self.api,
            cache,
            "pool",
            me,
            self.clock,
            duration=DURATION_SECONDS,
            margin=MARGIN_SECONDS,
        )

    def pass_time(self, seconds, *running):
        """Advance the clock in small steps, with a tick of each running process after each."""
        for _ in range(int(seconds * 2)):
            self.clock.time += 0.5
            for process in running:
                process.tick()


@pytest.fixture
def contenders():
    created = Contenders()
    created.one.tick()
    return created


def test_the_first_process_holds_the_lease_and_the_second_waits(contenders):
    contenders.pass_time(60, contenders.one, contenders.two)
    assert contenders.one.held
    assert not contenders.two.held
    assert contenders.one.check() == 1


def test_a_holder_stops_by_itself_before_another_may_take_over(contenders):
    contenders.two.tick()
    contenders.pass_time(DURATION_SECONDS - MARGIN_SECONDS, contenders.two)
    assert not contenders.one.held
    assert not contenders.two.held
    with pytest.raises(LeaseLostError):
        contenders.one.check()
    contenders.pass_time(2 * MARGIN_SECONDS + 1, contenders.two)
    assert contenders.two.held
    assert contenders.two.check() == 2


def test_there_are_never_two_holders_at_once(contenders):
    for step in range(400):
        contenders.clock.time += 0.5
        if step % 50 < 25:
            contenders.one.tick()
        if step % 70 < 40:
            contenders.two.tick()
        assert not (contenders.one.held and contenders.two.held)


def test_a_released_lease_is_taken_at_once_and_lists_no_former_holder(contenders):
    contenders.one.release()
    contenders.two.tick()
    contenders.two.tick()
    assert contenders.two.held
    assert contenders.two.lease.former == ()


def test_an_expired_lease_lists_its_former_holder_until_that_one_resumes(contenders):
    contenders.two.tick()
    contenders.pass_time(DURATION_SECONDS + MARGIN_SECONDS + 1, contenders.two)
    assert [h.name for h in contenders.two.lease.former] == ["one"]
    contenders.one.tick()
    contenders.one.tick()
    contenders.pass_time(DURATION_SECONDS, contenders.two)
    assert contenders.two.held
    assert contenders.two.lease.former == ()


def test_a_later_incarnation_of_the_holder_proves_the_earlier_one_dead(contenders):
    later = contenders.make("one", 2)
    later.tick()
    assert later.held
    assert later.lease.former == ()
    assert later.check() == 2


def test_a_renewal_whose_answer_was_lost_keeps_the_lease(contenders):
    contenders.api.lose = 1
    contenders.pass_time(4, contenders.one)
    assert contenders.one.held
    assert contenders.one.check() == 1


def test_the_lease_expires_in_an_outage_and_returns_to_its_holder_afterwards(contenders):
    contenders.api.down = True
    contenders.pass_time(20, contenders.one)
    assert not contenders.one.held
    contenders.api.down = False
    contenders.one.tick()
    assert contenders.one.held
    assert contenders.one.check() == 2


def test_fencing_numbers_increase_over_terms_and_within_them():
    numbers = [make_fence(1, 1), make_fence(1, 2), make_fence(2, 1), make_fence(3, 9)]
    assert numbers == sorted(set(numbers))


def test_a_write_whose_answer_was_lost_takes_effect_once():
    api = FakeApi()
    api.lose = 1
    stored = write_once(api, LEASE, "x", {"a": 1}, 0)
    assert stored.spec["a"] == 1
    assert api.writes == 1


def test_a_write_with_an_outdated_version_is_a_conflict():
    api = FakeApi()
    write_once(api, LEASE, "x", {"a": 1}, 0)
    with pytest.raises(ConflictError):
        write_once(api, LEASE, "x", {"a": 2}, 0)


def test_an_update_fails_after_three_conflicts():
    api = FakeApi()

    def change(spec):
        # Another writer changes the object before each write.
        api.version += 1
        api.objects["k", "n"] = type(write_once(FakeApi(), "k", "n", {}, 0))(
            "k", "n", api.version, {"other": api.version}
        )
        return {"mine": 1}

    with pytest.raises(ConflictError):
        update_object(api, "k", "n", change)
