"""Notices a changed settings file that no signal told of."""

import asyncio
from collections.abc import Callable
from pathlib import Path

# Seconds between two looks at the file.
POLL_SECONDS = 1.0


async def watch_settings_file(path: Path, changed: Callable[[], None]) -> None:
    """Call `changed` after each change of the file, for as long as the process lives."""
    seen = _read_change_time(path)
    while True:
        await asyncio.sleep(POLL_SECONDS)
        now = _read_change_time(path)
        if now != seen:
            seen = now
            changed()


def _read_change_time(path: Path) -> int:
    """Return the file's time of change in nanoseconds, 0 while there is none."""
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return 0
