"""Persists quarantined requests in the platform's store, so that they survive a loss of all hosts.

One object holds all of them. Each host reads it once, at its start. One host, found by a hash,
writes it when a request is quarantined or cleared.
"""

import asyncio
import random
import time
from collections.abc import Callable, Sequence
from typing import Any

from swifttrestle.errors import BadEntryError, NotFoundError
from swifttrestle.internal.checks import MAX_INT64, check_integer, check_text
from swifttrestle.internal.coordination.store.entries import SkippedEntries
from swifttrestle.internal.coordination.store.store_retry import retry_until_done
from swifttrestle.internal.event_log import log_event
from swifttrestle.internal.forward.crash_guard import CrashGuard
from swifttrestle.internal.policy.placement import is_ranked_first
from swifttrestle.internal.policy.quarantine import CRASH_RETENTION_SECONDS
from swifttrestle.internal.protocol.quarantine import pack_fingerprint, unpack_fingerprint
from swifttrestle.internal.state.crash_records import Crash, CrashRecord
from swifttrestle.internal.state.fingerprints import Fingerprint
from swifttrestle.internal.state.members import Member
from swifttrestle.platform.objects import StoredObject
from swifttrestle.platform.store import ObjectStore

QUARANTINE_KIND = "swifttrestle-quarantine"
QUARANTINE_NAME = "requests"
# Maximum number of requests in the object, which keeps those with the latest crashes. Some 100 kB,
# a tenth of what one object may have.
MAX_STORED_REQUESTS = 512
# Log event of a failed read or write.
NOT_STORED_EVENT = "quarantine not kept"
# Seconds for which changes are collected before a write. Covers the requests of one crash.
COLLECT_SECONDS = 0.05


class QuarantineStore:
    """Reads the object at the start, and writes changes if this host is the writer."""

    def __init__(
        self,
        store: ObjectStore,
        guard: CrashGuard,
        host: str,
        list_members: Callable[[], Sequence[Member]],
        rng: random.Random,
        skipped: SkippedEntries,
    ) -> None:
        """Persist the quarantine of `guard` in `store`."""
        self._store = store
        self._guard = guard
        self._host = host
        self._list_members = list_members
        self._rng = rng
        self._skipped = skipped
        self._changed = asyncio.Event()

    def note_change(self) -> None:
        """Schedule a write after a request was quarantined or cleared."""
        self._changed.set()

    async def run(self) -> None:
        """Read once, then write changes until cancelled."""
        await retry_until_done(self._load, NOT_STORED_EVENT, self._rng)
        while True:
            await self._changed.wait()
            await asyncio.sleep(COLLECT_SECONDS)
            self._changed.clear()
            await retry_until_done(self._save, NOT_STORED_EVENT, self._rng)

    async def _load(self) -> None:
        stored_object = await self._read()
        if stored_object is not None:
            self._merge(stored_object)

    async def _save(self) -> None:
        """Merge the stored object with this host's quarantine and write it if that changed it."""
        if not self._is_writer():
            return
        stored_object = await self._read()
        # Requests that were cleared here stay cleared: their answers are later than their crashes.
        stored_crashes = {} if stored_object is None else self._merge(stored_object)
        records = self._list_quarantined()
        if _count_crashes(records) == stored_crashes:
            return
        spec = {"requests": [_format_record(record, _now()) for record in records]}
        if stored_object is None:
            await self._store.create(QUARANTINE_KIND, QUARANTINE_NAME, spec)
        else:
            await self._store.replace(
                QUARANTINE_KIND, QUARANTINE_NAME, spec, stored_object.revision
            )
        log_event("quarantine kept", requests=len(records))

    async def _read(self) -> StoredObject | None:
        try:
            return await self._store.get(QUARANTINE_KIND, QUARANTINE_NAME)
        except NotFoundError:
            return None

    def _merge(self, stored_object: StoredObject) -> dict[Fingerprint, int]:
        """Merge the object into the quarantine; return its number of crashes by request.

        Skips entries that cannot be read.
        """
        requests = (
            stored_object.spec.get("requests") if isinstance(stored_object.spec, dict) else None
        )
        records = []
        for raw in requests if isinstance(requests, list) else [stored_object.spec]:
            try:
                records.append(_parse_record(raw, _now()))
            except BadEntryError as error:
                self._skipped.skip(QUARANTINE_KIND, stored_object.name, error, raw)
        self._guard.merge_crash_records(records, "the store")
        return _count_crashes(records)

    def _is_writer(self) -> bool:
        """Return whether this host writes the object; all hosts find the same one by a hash."""
        hosts = (item.host for item in self._list_members())
        return is_ranked_first(QUARANTINE_KIND, self._host, hosts)

    def _list_quarantined(self) -> list[CrashRecord]:
        records = self._guard.quarantine.list_quarantined()
        return sorted(records, key=lambda record: record.last_crash_at, reverse=True)[
            :MAX_STORED_REQUESTS
        ]


def _count_crashes(records: Sequence[CrashRecord]) -> dict[Fingerprint, int]:
    return {record.name: len(record.crashes) for record in records}


def _format_record(record: CrashRecord, now: float) -> dict[str, Any]:
    """Return the stored form, with times in Unix milliseconds."""
    crashes = [
        {"start": crash.start, "at": int((time.time() - now + crash.at) * 1000)}
        for crash in record.crashes
    ]
    return {"name": pack_fingerprint(record.name).hex(), "crashes": crashes}


def _parse_record(raw: Any, now: float) -> CrashRecord:
    """Return the crash record of a stored form; raise BadEntryError."""
    match raw:
        case {"name": str(name), "crashes": [_, *_] as crashes}:
            try:
                read = tuple(_parse_crash(crash, now) for crash in crashes)
                return CrashRecord(unpack_fingerprint(bytes.fromhex(name)), read)
            except (ValueError, TypeError, KeyError) as error:
                raise BadEntryError("a quarantine", "requests", raw, repr(error)) from None
    raise BadEntryError("a quarantine", "requests", raw, "a field is missing or of another type")


def _parse_crash(raw: Any, now: float) -> Crash:
    age = time.time() - check_integer(raw["at"], 0, MAX_INT64) / 1000
    # The clock of the host that wrote the entry may be ahead of this host's.
    return Crash(check_text(raw["start"]), now - min(max(age, 0.0), CRASH_RETENTION_SECONDS))


def _now() -> float:
    return asyncio.get_running_loop().time()
