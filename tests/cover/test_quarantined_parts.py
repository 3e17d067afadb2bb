"""Quarantine of prompt parts: crashes, what clears a part, and what another part explains."""

import pytest

from swifttrestle.internal.policy.quarantine import Quarantine
from swifttrestle.internal.policy.quarantine_periods import (
    ANSWERED_PART_RULE,
    LONG_QUARANTINE_SECONDS,
    PART_RULE,
)
from swifttrestle.internal.protocol.gossip import MAX_DATAGRAM_BYTES
from swifttrestle.internal.protocol.quarantine import pack_crash_update, split_records
from swifttrestle.internal.state.crash_records import Crash, CrashRecord
from swifttrestle.internal.state.fingerprints import (
    Fingerprint,
    fingerprint_part,
    parse_fingerprint,
)

NOW = 1000.0
DEADLY, COMMON, MIDDLE = (fingerprint_part(name) for name in ("dead", "common", "middle"))
REQUEST = Fingerprint(bytes(8), bytes(8))


def note(quarantine, fingerprint, *numbers):
    """Record crashes, each at the second of its number."""
    crashes = [Crash(f"i-{number}", NOW + number) for number in numbers]
    quarantine.note(fingerprint, crashes, NOW + 100)


@pytest.mark.parametrize(
    ("answered", "rule"),
    [(False, PART_RULE), (True, ANSWERED_PART_RULE)],
    ids=["never answered", "answered before"],
)
def test_a_part_is_quarantined_after_some_crashes_without_an_answer(answered, rule):
    quarantine = Quarantine(0.0)
    if answered:
        quarantine.clear_crashes(DEADLY, NOW - 1)
    note(quarantine, DEADLY, *range(1, rule.crashes))
    assert not quarantine.needs_trial(DEADLY)
    note(quarantine, DEADLY, rule.crashes)
    assert quarantine.needs_trial(DEADLY)
    assert quarantine.find_wait(DEADLY, NOW + rule.crashes) == rule.first_seconds
    tried_at = rule.crashes + rule.first_seconds
    note(quarantine, DEADLY, tried_at)
    assert quarantine.find_wait(DEADLY, NOW + tried_at) == LONG_QUARANTINE_SECONDS


def test_an_answer_between_crashes_clears_a_part():
    quarantine = Quarantine(0.0)
    for number in range(1, 20):
        note(quarantine, COMMON, number)
        quarantine.clear_crashes(COMMON, NOW + number + 0.5)
    assert not quarantine.needs_trial(COMMON)
    assert quarantine.list_quarantined() == []


def test_a_late_clearance_does_not_make_a_known_answer_older():
    quarantine = Quarantine(0.0)
    quarantine.clear_crashes(COMMON, NOW + 5)
    quarantine.clear_crashes(COMMON, NOW - 5)
    note(quarantine, COMMON, 1, 2, 3, 4, 5)
    assert quarantine.find(COMMON) is None


# Crashes by fingerprint, those that were answered before, and those that are refused.
ALL = (1, 2, 3)
EXPLAINED = {
    "fewer crashes than the part beside it": ({DEADLY: (*ALL, 4), MIDDLE: ALL}, (), {DEADLY}),
    "as many crashes, answered before": (
        {DEADLY: (1, 2, 3, 4, 5), MIDDLE: (1, 2, 3, 4, 5)}, (MIDDLE,), {DEADLY},
    ),
    "as many crashes, both never answered": (
        {DEADLY: ALL, MIDDLE: ALL}, (), {DEADLY, MIDDLE},
    ),
    "a crash without the other part": (
        {DEADLY: (1, 2, 3, 5), MIDDLE: (2, 3, 4)}, (), {DEADLY, MIDDLE},
    ),
    "a request that was open beside the part": ({DEADLY: ALL, REQUEST: (2, 3)}, (), {DEADLY}),
    "a request that was open at each crash of the part": (
        {DEADLY: ALL, REQUEST: ALL}, (), {DEADLY},
    ),
    "a request that crashed another upstream": (
        {DEADLY: ALL, REQUEST: (3, 4)}, (), {DEADLY, REQUEST},
    ),
    "a popular part explains nothing": (
        {COMMON: (1, 2, 3, 4, 5, 6), DEADLY: (4, 5, 6)}, (COMMON,), {COMMON, DEADLY},
    ),
}  # fmt: skip


@pytest.mark.parametrize(("crashes", "answered", "refused"), EXPLAINED.values(), ids=EXPLAINED)
def test_what_a_more_suspect_part_explains_is_not_refused(crashes, answered, refused):
    quarantine = Quarantine(0.0)
    for fingerprint in answered:
        quarantine.clear_crashes(fingerprint, NOW)
    for fingerprint, numbers in crashes.items():
        note(quarantine, fingerprint, *numbers)
    assert {item for item in crashes if quarantine.needs_trial(item)} == refused


@pytest.mark.parametrize(
    ("crashing", "neighbour", "refused"),
    [
        ((1, 2, 3), (1, 2), False),
        ((1, 2), (1, 2), True),
        ((1, 2, 3), (1, 4), True),
    ],
    ids=["open at fewer crashes", "open at the same crashes", "open at another crash"],
)
def test_a_request_that_ran_beside_a_crashing_one_is_not_refused(crashing, neighbour, refused):
    """Guards against refusing neighbours of a request that was open at more crashes than they."""
    quarantine = Quarantine(0.0)
    beside = Fingerprint(bytes(8), bytes(range(8)))
    note(quarantine, REQUEST, *crashing)
    note(quarantine, beside, *neighbour)
    assert quarantine.needs_trial(beside) == refused
    assert quarantine.needs_trial(REQUEST)


def test_the_text_of_a_part_is_read_back():
    assert str(DEADLY).startswith("part-")
    assert parse_fingerprint(str(DEADLY)) == DEADLY
    assert parse_fingerprint(str(REQUEST)) == REQUEST


def test_records_with_the_most_crashes_fit_their_datagrams():
    crashes = tuple(
        Crash(f"i-{n:010x}@1764720000000", NOW - n) for n in range(PART_RULE.max_crashes)
    )
    records = [CrashRecord(fingerprint_part(str(number)), crashes) for number in range(40)]
    updates = list(split_records(records))
    assert [item for update in updates for item in update.records] == records
    assert max(len(pack_crash_update(item, NOW)) for item in updates) <= MAX_DATAGRAM_BYTES
