"""Scenarios fail against programs that lack the mechanism that they test."""

from pathlib import Path

import pytest

from tests.common.scenario import Scenario

SCENARIOS = Path(__file__).parent.parent / "quality" / "scenarios"
WEAKENED_SCENARIOS = Path(__file__).parent / "weakened"

WEAKENED = [
    (
        SCENARIOS / "version_change.scn",
        "controller",
        "controller_that_waits_for_no_entry",
        "expect whole long",
    ),
    (
        WEAKENED_SCENARIOS / "frozen_holder.scn",
        "controller",
        "controller_that_trusts_time_alone",
        "an old holder's order",
    ),
    (SCENARIOS / "faulty_answers.scn", "entry", "entry_that_checks_no_token", "expect whole first"),
    (
        SCENARIOS / "alert_lost_after.scn",
        "entry",
        "entry_that_repeats_anything",
        "expect refused lost",
    ),
    (SCENARIOS / "engine_dies.scn", "entry", "entry_that_resumes_nothing", "expect whole long"),
    (SCENARIOS / "rolling_stop.scn", "entry", "entry_that_stops_at_once", "expect whole long"),
    (
        WEAKENED_SCENARIOS / "drain_under_load.scn",
        "entry",
        "entry_that_ignores_drains",
        "unused_since",
    ),
    (
        SCENARIOS / "start_in_outage.scn",
        "entry",
        "entry_that_asks_no_peer",
        "when in_force n2 fleet",
    ),
]


@pytest.mark.timeout(200)
@pytest.mark.parametrize(
    ("path", "kind", "program", "message"), WEAKENED, ids=[case[2] for case in WEAKENED]
)
def test_the_scenario_fails_without_the_mechanism(path, kind, program, message, tmp_path):
    scenario = Scenario(tmp_path, {kind: f"tests.common.weakened:{program}"})
    with pytest.raises(AssertionError) as caught:
        scenario.run(path)
    assert message in str(caught.value)


def test_the_drain_scenario_passes_with_the_mechanism(tmp_path):
    Scenario(tmp_path).run(WEAKENED_SCENARIOS / "drain_under_load.scn")
