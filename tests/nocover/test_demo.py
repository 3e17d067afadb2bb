"""The demo itself: declared resources become right answers over separate processes."""

import subprocess
import sys


def test_the_demo_gives_only_right_answers():
    done = subprocess.run(
        [sys.executable, "-m", "swifttrestle_standins.demo"],
        capture_output=True, text=True, timeout=200, check=False,
    )  # fmt: skip
    assert done.returncode == 0, done.stdout + done.stderr
    assert done.stdout.count(": right:") == 6
    assert "WRONG" not in done.stdout
    assert "in force on 2 of 2 entries" in done.stdout
