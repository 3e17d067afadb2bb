"""When an upstream is left out, and how it comes back."""

import pytest

from swifttrestle.errors import UpstreamBrokenError, UpstreamUnreachedError
from swifttrestle.internal.forward.gateway_state import weigh_failure
from swifttrestle.internal.policy.ejection import TRIAL_SECONDS, Ejector

GROUP = ["a", "b", "c", "d"]
BROKEN = UpstreamBrokenError("broken", sent=True)
SILENT = UpstreamUnreachedError("silent", refused=False)
REFUSED = UpstreamUnreachedError("refused", refused=True)


def make_ejector(*failures):
    ejector = Ejector(0.5, 2.0)
    for error in failures:
        ejector.note_failure("a", GROUP, 100.0, weigh_failure(error))
    return ejector


@pytest.mark.parametrize(
    ("failures", "out"),
    [
        ((), False),
        ((BROKEN, BROKEN), False),
        ((BROKEN, BROKEN, BROKEN), True),
        ((REFUSED,), True),
        # A lost packet must not cost an engine.
        ((SILENT,), False),
        ((SILENT, SILENT), True),
        ((SILENT, BROKEN), True),
    ],
)
def test_an_upstream_that_nobody_reaches_is_left_out_sooner(failures, out):
    assert make_ejector(*failures).is_ejected("a", 100.0) is out


def test_one_request_at_a_time_tries_an_upstream_that_comes_back():
    ejector = make_ejector(REFUSED)
    assert not ejector.is_ejected("a", 102.0)
    ejector.note_use("a", 102.0)
    assert ejector.is_ejected("a", 102.1)
    assert not ejector.is_ejected("a", 102.0 + TRIAL_SECONDS)
    ejector.note_success("a", 102.2)
    assert not ejector.is_ejected("a", 102.2)
    ejector.note_use("a", 102.3)
    assert not ejector.is_ejected("a", 102.4)


def test_an_upstream_that_fails_its_trial_is_left_out_for_longer():
    ejector = make_ejector(REFUSED)
    ejector.note_use("a", 102.0)
    assert ejector.note_failure("a", GROUP, 102.1)
    assert ejector.is_ejected("a", 106.0)
    assert not ejector.is_ejected("a", 106.2)


@pytest.mark.parametrize("fails", [True, False])
def test_what_was_sent_before_it_was_left_out_neither_shortens_nor_prolongs_that(fails):
    ejector = make_ejector(REFUSED)
    if fails:
        ejector.note_failure("a", GROUP, 100.5)
    else:
        ejector.note_success("a", 100.5)
    assert ejector.is_ejected("a", 101.9)
    assert not ejector.is_ejected("a", 102.1)
