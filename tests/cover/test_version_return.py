"""When a software version is predicted to have a decode engine again."""

import math

import pytest

from swifttrestle.internal.policy.version_return import (
    RECOVERY_SECONDS,
    choose_return_delay,
    predict_return,
)
from swifttrestle.internal.state.declared import Role, UpstreamRecord
from swifttrestle.internal.state.fleet import Instance

NOW = 100.0


def make_engine(role, ready_in=-math.inf):
    record = UpstreamRecord("e1", "model", ("10.0.0.1", 80), "hall-a", 8, False, role)
    return Instance(record, role_changing_until=NOW + ready_in)


@pytest.mark.parametrize(
    ("engines", "held", "expected"),
    [
        ([], 0.0, None),
        ([make_engine(Role.PREFILL)], 0.0, None),
        ([make_engine(Role.DECODE)], 0.0, 0.0),
        ([make_engine(Role.DECODE)], 0.4, 0.4),
        ([make_engine(Role.DECODE, 2.0)], 0.4, 2.0),
        ([make_engine(Role.DECODE, 2.0), make_engine(Role.DECODE, 1.0)], 0.0, 1.0),
        ([make_engine(Role.PREFILL, 0.5), make_engine(Role.DECODE, 1.0)], 0.0, 1.0),
    ],
)
def test_a_version_is_back_with_its_first_decode_engine(engines, held, expected):
    assert predict_return(engines, NOW, lambda _: held) == expected


@pytest.mark.parametrize(
    ("predicted", "longest", "drawn", "expected"),
    [
        (None, 3.0, 0.0, RECOVERY_SECONDS),
        (0.0, 3.0, 0.0, RECOVERY_SECONDS),
        (2.0, 3.0, 0.0, 2.0),
        (2.0, 3.0, 1.0, 3.0),
        (2.0, 2.5, 1.0, 2.5),
        (None, 0.2, 1.0, 0.2),
    ],
)
def test_retry_after_reaches_to_the_return_as_far_as_callers_heed_it(
    predicted, longest, drawn, expected
):
    assert choose_return_delay(predicted, longest, drawn) == pytest.approx(expected)
