"""Starts a gateway from a checkout, without an installed package."""

import sys
from pathlib import Path

# The package's folder is named, and not the one inside it: that one holds `platform`, which
# would hide the standard library's module of the same name.
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from swifttrestle.gateway import main  # noqa: E402

main()
