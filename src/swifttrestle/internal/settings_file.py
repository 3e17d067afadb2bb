"""Detects changes of the settings file by polling, without a SIGHUP."""

import asyncio
from collections.abc import Callable
from pathlib import Path

POLL_INTERVAL_SECONDS = 1.0


async def watch_settings_file(path: Path, changed: Callable[[], None]) -> None:
    """Call `changed` after each change of the file, without end."""
    last_mtime_ns = _read_mtime_ns(path)
    while True:
        await asyncio.sleep(POLL_INTERVAL_SECONDS)
        mtime_ns = _read_mtime_ns(path)
        if mtime_ns != last_mtime_ns:
            last_mtime_ns = mtime_ns
            changed()


def _read_mtime_ns(path: Path) -> int:
    """Return the file's modification time in nanoseconds, or 0 if it cannot be read."""
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return 0
