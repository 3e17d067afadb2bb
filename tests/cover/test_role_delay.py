"""The delay before a wanted role change is ordered."""

import pytest

from swifttrestle.internal.policy.role_delay import RoleChangeDelay
from swifttrestle.internal.policy.role_split import RoleChange, plan_change
from swifttrestle.internal.state.declared import Role, UpstreamRecord
from swifttrestle.internal.state.demand import Demand
from swifttrestle.internal.state.fleet import Instance

SECONDS = 3.0


def make_engine(name, role):
    return Instance(UpstreamRecord(name, "s", (name, 1), "a", 40, False, role))


def make_change(role, urgent=False):
    return RoleChange(make_engine("e", Role.DECODE), role, "load", urgent)


PREFILL, DECODE = make_change(Role.PREFILL), make_change(Role.DECODE)
URGENT = make_change(Role.DECODE, urgent=True)


@pytest.mark.parametrize(
    ("checks", "allowed"),
    [
        ([(0.0, PREFILL)], False),
        ([(0.0, PREFILL), (2.9, PREFILL)], False),
        ([(0.0, PREFILL), (3.0, PREFILL)], True),
        # An interruption restarts the delay.
        ([(0.0, PREFILL), (1.5, None), (3.0, PREFILL)], False),
        ([(0.0, PREFILL), (1.5, DECODE), (3.0, PREFILL)], False),
        ([(0.0, PREFILL), (1.5, DECODE), (4.5, DECODE)], True),
        ([(0.0, URGENT)], True),
    ],
)
def test_a_change_is_ordered_once_it_has_been_wanted_for_long_enough(checks, allowed):
    delay = RoleChangeDelay()
    found = [delay.allows("s", change, SECONDS, at) for at, change in checks]
    assert found[-1] is allowed
    assert not any(found[:-1])


def test_services_are_delayed_independently():
    delay = RoleChangeDelay()
    delay.allows("s", PREFILL, SECONDS, 0.0)
    assert not delay.allows("t", PREFILL, SECONDS, 3.0)
    assert delay.allows("s", PREFILL, SECONDS, 3.0)


@pytest.mark.parametrize(
    ("roles", "demand", "urgent"),
    [
        # No load is known: the first split is ordered at once.
        ("dddddd", Demand(), True),
        # A single decode engine does not tolerate a loss.
        ("prrrrd", Demand(100_000.0, 10.0), True),
        ("rrrrdd", Demand(50_000.0, 150.0), False),
    ],
)
def test_the_first_split_and_one_with_too_few_decode_engines_are_urgent(roles, demand, urgent):
    engines = [
        make_engine(f"e{n}", Role.DECODE if role == "d" else Role.PREFILL)
        for n, role in enumerate(roles)
    ]
    assert plan_change(engines, {}, demand).urgent is urgent
