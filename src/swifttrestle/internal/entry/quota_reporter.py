"""Writes what an entry does about quotas to the platform, for `swifttrestle-ctl status`."""

import contextlib
import threading
import time

from swifttrestle.errors import ConflictError, NotFoundError, PlatformUnavailableError
from swifttrestle.internal.clock import read_boottime_seconds
from swifttrestle.internal.coordination.quotas.recent_counts import WINDOW_SECONDS
from swifttrestle.internal.coordination.store.conditional_writes import (
    read_or_none,
    update_object,
)
from swifttrestle.internal.entry.quotas import EntryQuotas
from swifttrestle.internal.protocol.platform import ObjectApi
from swifttrestle.internal.quota_report import QUOTA_STATUS, QuotaReport

# Upper bound of the writes a second of all entries together.
MAX_WRITES_PER_SECOND = 20.0
POLL_SECONDS = 0.5


def find_interval(entries: int) -> float:
    """Return the seconds between two reports of one of so many entries."""
    return max(WINDOW_SECONDS, entries / MAX_WRITES_PER_SECOND)


class QuotaReporter:
    """Keeps one object of this entry in the platform while a quota is in force."""

    def __init__(self, api: ObjectApi, entry: str, quotas: EntryQuotas) -> None:
        """Report the quotas of the entry of this name."""
        self._api = api
        self._entry = entry
        self._quotas = quotas
        self._stopped = threading.Event()
        self._is_written = False

    def start(self) -> None:
        """Start the thread that reports."""
        threading.Thread(target=self._run, name="quota reports", daemon=True).start()

    def stop(self) -> None:
        """Stop reporting and delete the object."""
        self._stopped.set()
        self._delete()

    def _run(self) -> None:
        reported_at = float("-inf")
        while not self._stopped.wait(POLL_SECONDS):
            interval = find_interval(self._quotas.entries)
            is_due = read_boottime_seconds() - reported_at >= interval
            if is_due or self._is_written != self._quotas.are_in_force:
                reported_at = read_boottime_seconds()
                self.report(interval)

    def report(self, interval: float) -> None:
        """Write the object, or delete it if no quota is in force; the next report retries."""
        if not self._quotas.are_in_force:
            self._delete()
            return
        report = QuotaReport(time.time(), interval, self._quotas.describe())
        with contextlib.suppress(PlatformUnavailableError, ConflictError):
            update_object(self._api, QUOTA_STATUS, self._entry, lambda _: vars(report))
            self._is_written = True

    def _delete(self) -> None:
        if not self._is_written:
            return
        with contextlib.suppress(PlatformUnavailableError, ConflictError, NotFoundError):
            stored = read_or_none(self._api, QUOTA_STATUS, self._entry)
            if stored is not None:
                self._api.delete(QUOTA_STATUS, self._entry, stored.version)
            self._is_written = False
