"""Starts a gateway from a checkout, without installing the package."""

import sys
from pathlib import Path

# The path is that of src, not of the package inside it, whose `platform` would hide the standard
# library's module of the same name.
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from swifttrestle.gateway import main  # noqa: E402

main()
