"""Starts a gateway from a checkout, without installing the package."""

import signal

# The settings are read later, so a reload has nothing to do yet. By default it ends the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import sys  # noqa: E402
from pathlib import Path  # noqa: E402

# The path is that of src, not of the package inside it, whose `platform` would hide the standard
# library's module of the same name.
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from swifttrestle.gateway import main  # noqa: E402

main()
