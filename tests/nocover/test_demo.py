"""The demo over separate processes, from declared resources to correct answers."""

import subprocess
import sys


def test_the_demo_gives_only_correct_answers():
    done = subprocess.run(
        [sys.executable, "-m", "swifttrestle_standins.demo"],
        capture_output=True, text=True, timeout=200, check=False,
    )  # fmt: skip
    assert done.returncode == 0, done.stdout + done.stderr
    assert done.stdout.count(": right:") == 6
    assert "WRONG" not in done.stdout
    assert "in force on 2 of 2 entries" in done.stdout
