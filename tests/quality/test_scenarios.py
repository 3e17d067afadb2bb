"""Runs every scenario file with the system's processes and the stand-ins."""

from pathlib import Path

import pytest

from tests.common.scenario import Scenario

FOLDER = Path(__file__).parent / "scenarios"
SOAK_ROUNDS = 5


def pytest_generate_tests(metafunc):
    rounds = SOAK_ROUNDS if metafunc.config.getoption("--soak") else 1
    paths = [path for path in sorted(FOLDER.glob("*.scn")) for _ in range(rounds)]
    metafunc.parametrize("path", paths, ids=[path.stem for path in paths])


@pytest.mark.timeout(200)
def test_the_scenario_holds(path, tmp_path):
    Scenario(tmp_path).run(path)
