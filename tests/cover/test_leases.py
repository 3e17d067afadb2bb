"""Leases: who may act, when, and what a lost answer changes."""

import pytest

from swifttrestle.errors import ConflictError, LeaseLostError
from swifttrestle.internal.coordination.conditional_writes import update_object, write_once
from swifttrestle.internal.coordination.leases import LEASE, Holder, LeaseManager, make_fence
from tests.common.fakes import FakeApi, FakeCache, FakeClock

DURATION, MARGIN = 9.0, 1.0


class Rivals:
    """Two processes that want one lease."""

    def __init__(self):
        self.clock = FakeClock()
        self.api = FakeApi()
        self.one = self.make("one", 1)
        self.two = self.make("two", 1)

    def make(self, name, incarnation):
        cache = FakeCache(self.api, self.clock)
        me = Holder(name, f"host-{name}", incarnation)
        return LeaseManager(
            self.api, cache, "pool", me, self.clock, duration=DURATION, margin=MARGIN
        )

    def pass_time(self, seconds, *ticking):
        """Let time pass in small steps, with some processes at work."""
        for _ in range(int(seconds * 2)):
            self.clock.time += 0.5
            for keeper in ticking:
                keeper.tick()


@pytest.fixture
def rivals():
    found = Rivals()
    found.one.tick()
    return found


def test_the_first_one_holds_it_and_the_second_waits(rivals):
    rivals.pass_time(60, rivals.one, rivals.two)
    assert rivals.one.held
    assert not rivals.two.held
    assert rivals.one.check() == 1


def test_a_holder_stops_by_itself_before_another_may_take_over(rivals):
    rivals.two.tick()
    rivals.pass_time(DURATION - MARGIN, rivals.two)
    assert not rivals.one.held
    assert not rivals.two.held
    with pytest.raises(LeaseLostError):
        rivals.one.check()
    rivals.pass_time(2 * MARGIN + 1, rivals.two)
    assert rivals.two.held
    assert rivals.two.check() == 2


def test_never_two_holders_at_any_moment(rivals):
    for step in range(400):
        rivals.clock.time += 0.5
        if step % 50 < 25:
            rivals.one.tick()
        if step % 70 < 40:
            rivals.two.tick()
        assert not (rivals.one.held and rivals.two.held)


def test_a_released_lease_is_taken_at_once_and_leaves_no_former_holder(rivals):
    rivals.one.release()
    rivals.two.tick()
    rivals.two.tick()
    assert rivals.two.held
    assert rivals.two.lease.former == ()


def test_a_lease_that_ran_out_names_its_former_holder_until_it_steps_back(rivals):
    rivals.two.tick()
    rivals.pass_time(DURATION + MARGIN + 1, rivals.two)
    assert [h.name for h in rivals.two.lease.former] == ["one"]
    rivals.one.tick()
    rivals.one.tick()
    rivals.pass_time(DURATION, rivals.two)
    assert rivals.two.held
    assert rivals.two.lease.former == ()


def test_a_newer_run_of_the_holder_proves_the_older_one_dead(rivals):
    later = rivals.make("one", 2)
    later.tick()
    assert later.held
    assert later.lease.former == ()
    assert later.check() == 2


def test_a_renewal_whose_answer_was_lost_is_found_to_stand(rivals):
    rivals.api.lose = 1
    rivals.pass_time(4, rivals.one)
    assert rivals.one.held
    assert rivals.one.check() == 1


def test_the_lease_runs_out_in_an_outage_and_goes_to_the_old_holder_after_it(rivals):
    rivals.api.down = True
    rivals.pass_time(20, rivals.one)
    assert not rivals.one.held
    rivals.api.down = False
    rivals.one.tick()
    assert rivals.one.held
    assert rivals.one.check() == 2


def test_numbers_of_orders_rise_over_terms_and_within_them():
    numbers = [make_fence(1, 1), make_fence(1, 2), make_fence(2, 1), make_fence(3, 9)]
    assert numbers == sorted(set(numbers))


def test_a_lost_write_takes_effect_once():
    api = FakeApi()
    api.lose = 1
    stored = write_once(api, LEASE, "x", {"a": 1}, 0)
    assert stored.spec["a"] == 1
    assert api.writes == 1


def test_a_lost_write_behind_another_is_a_conflict():
    api = FakeApi()
    write_once(api, LEASE, "x", {"a": 1}, 0)
    with pytest.raises(ConflictError):
        write_once(api, LEASE, "x", {"a": 2}, 0)


def test_a_change_gives_up_after_losing_three_races():
    api = FakeApi()

    def change(spec):
        # Another writer comes first, each time.
        api.version += 1
        api.objects["k", "n"] = type(write_once(FakeApi(), "k", "n", {}, 0))(
            "k", "n", api.version, {"other": api.version}
        )
        return {"mine": 1}

    with pytest.raises(ConflictError):
        update_object(api, "k", "n", change)
