"""Ejection of upstreams and the probe after it."""

import pytest

from swifttrestle.errors import UpstreamBrokenError, UpstreamUnreachedError
from swifttrestle.internal.forward.gateway_state import get_failure_weight
from swifttrestle.internal.policy.ejection import PROBE_INTERVAL_SECONDS, Ejector

GROUP = ["a", "b", "c", "d"]
BROKEN = UpstreamBrokenError("broken", sent=True)
SILENT = UpstreamUnreachedError("silent", refused=False)
REFUSED = UpstreamUnreachedError("refused", refused=True)


def make_ejector(*failures):
    ejector = Ejector(0.5, 2.0)
    for error in failures:
        ejector.note_failure("a", GROUP, 100.0, get_failure_weight(error))
    return ejector


@pytest.mark.parametrize(
    ("failures", "ejected"),
    [
        ((), False),
        ((BROKEN, BROKEN), False),
        ((BROKEN, BROKEN, BROKEN), True),
        ((REFUSED,), True),
        # A single lost packet must not eject an engine.
        ((SILENT,), False),
        ((SILENT, SILENT), True),
        ((SILENT, BROKEN), True),
    ],
)
def test_an_unreachable_upstream_is_ejected_after_fewer_failures(failures, ejected):
    assert make_ejector(*failures).is_ejected("a", 100.0) is ejected


def test_one_request_at_a_time_probes_an_upstream_after_its_ejection():
    ejector = make_ejector(REFUSED)
    assert not ejector.is_ejected("a", 102.0)
    ejector.note_use("a", 102.0)
    assert ejector.is_ejected("a", 102.1)
    assert not ejector.is_ejected("a", 102.0 + PROBE_INTERVAL_SECONDS)
    ejector.note_success("a", 102.2)
    assert not ejector.is_ejected("a", 102.2)
    ejector.note_use("a", 102.3)
    assert not ejector.is_ejected("a", 102.4)


def test_an_upstream_that_fails_its_probe_is_ejected_for_longer():
    ejector = make_ejector(REFUSED)
    ejector.note_use("a", 102.0)
    assert ejector.note_failure("a", GROUP, 102.1)
    assert ejector.is_ejected("a", 106.0)
    assert not ejector.is_ejected("a", 106.2)


@pytest.mark.parametrize("fails", [True, False])
def test_requests_sent_before_an_ejection_do_not_change_its_duration(fails):
    ejector = make_ejector(REFUSED)
    if fails:
        ejector.note_failure("a", GROUP, 100.5)
    else:
        ejector.note_success("a", 100.5)
    assert ejector.is_ejected("a", 101.9)
    assert not ejector.is_ejected("a", 102.1)
