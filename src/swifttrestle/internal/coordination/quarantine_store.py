"""Keeps what is quarantined in the platform's store: a loss of power takes all hosts' memory.

One object holds all of it. Hosts read it once, at their start; one host, found by a hash, writes it
where something was added or acquitted, so that neither costs a call while nothing happens.
"""

import asyncio
import random
import time
from collections.abc import Callable, Sequence
from typing import Any

from swifttrestle.errors import BadEntryError, NotFoundError
from swifttrestle.internal.checks import MAX_INT64, check_integer, check_text
from swifttrestle.internal.coordination.entries import SkippedEntries
from swifttrestle.internal.coordination.store_retry import retry_until_done
from swifttrestle.internal.event_log import log_event
from swifttrestle.internal.forward.crash_guard import CrashGuard
from swifttrestle.internal.policy.placement import rank
from swifttrestle.internal.policy.quarantine import CRASH_RETENTION_SECONDS
from swifttrestle.internal.protocol.quarantine import pack_fingerprint, unpack_fingerprint
from swifttrestle.internal.state.crash_records import Crash, CrashRecord
from swifttrestle.internal.state.members import Member
from swifttrestle.internal.state.request_fingerprints import RequestFingerprint
from swifttrestle.platform.objects import StoredObject
from swifttrestle.platform.store import ObjectStore

QUARANTINE_KIND = "swifttrestle-quarantine"
QUARANTINE_NAME = "requests"
# Requests that the object holds, the latest crashes first: some 100 kB, a tenth of what one object
# may have.
MOST_STORED = 512
# The event of the line that tells of a try in vain.
NOT_KEPT = "quarantine not kept"
# Seconds for which what comes in is gathered before a write: the requests of one crash.
GATHER_SECONDS = 0.05


class QuarantineStore:
    """Reads the object at a start, and writes it where this host is the one that does."""

    def __init__(
        self,
        store: ObjectStore,
        guard: CrashGuard,
        host: str,
        list_members: Callable[[], Sequence[Member]],
        rng: random.Random,
        skipped: SkippedEntries,
    ) -> None:
        """Keep what `guard` has in `store`."""
        self._store = store
        self._guard = guard
        self._host = host
        self._list_members = list_members
        self._rng = rng
        self._skipped = skipped
        self._changed = asyncio.Event()

    def note_change(self) -> None:
        """Take over that something was quarantined or acquitted."""
        self._changed.set()

    async def run(self) -> None:
        """Read once, then write for as long as the process lives."""
        await retry_until_done(self._load, NOT_KEPT, self._rng)
        while True:
            await self._changed.wait()
            await asyncio.sleep(GATHER_SECONDS)
            self._changed.clear()
            await retry_until_done(self._save, NOT_KEPT, self._rng)

    async def _load(self) -> None:
        known = await self._read()
        if known is not None:
            self._take(known)

    async def _save(self) -> None:
        """Write what is quarantined here, together with what stands there."""
        if not self._writes():
            return
        known = await self._read()
        # What was acquitted here does not come back by this: its answer is later than its crashes.
        stored = {} if known is None else self._take(known)
        cases = self._list_quarantined()
        if _count_crashes(cases) == stored:
            return
        spec = {"requests": [_write_case(case, _now()) for case in cases]}
        if known is None:
            await self._store.create(QUARANTINE_KIND, QUARANTINE_NAME, spec)
        else:
            await self._store.replace(QUARANTINE_KIND, QUARANTINE_NAME, spec, known.revision)
        log_event("quarantine kept", requests=len(cases))

    async def _read(self) -> StoredObject | None:
        try:
            return await self._store.get(QUARANTINE_KIND, QUARANTINE_NAME)
        except NotFoundError:
            return None

    def _take(self, known: StoredObject) -> dict[RequestFingerprint, int]:
        """Take over what the object holds; return the crashes that it names by request.

        An entry that cannot be read hides no other.
        """
        requests = known.spec.get("requests") if isinstance(known.spec, dict) else None
        cases = []
        for raw in requests if isinstance(requests, list) else [known.spec]:
            try:
                cases.append(_read_case(raw, _now()))
            except BadEntryError as error:
                self._skipped.skip(QUARANTINE_KIND, known.name, error, raw)
        self._guard.merge_crash_records(cases, "the store")
        return _count_crashes(cases)

    def _writes(self) -> bool:
        """Return whether this host writes the object: every host finds the same one by a hash."""
        hosts = [item.host for item in self._list_members()]
        return self._host == max(hosts, key=lambda host: rank(QUARANTINE_KIND, host))

    def _list_quarantined(self) -> list[CrashRecord]:
        cases = self._guard.quarantine.list_quarantined()
        return sorted(cases, key=lambda case: case.last_crash_at, reverse=True)[:MOST_STORED]


def _count_crashes(cases: Sequence[CrashRecord]) -> dict[RequestFingerprint, int]:
    return {case.name: len(case.crashes) for case in cases}


def _write_case(case: CrashRecord, now: float) -> dict[str, Any]:
    """Return the stored form; times go by the time of day, in Unix milliseconds."""
    crashes = [
        {"start": crash.start, "at": int((time.time() - now + crash.at) * 1000)}
        for crash in case.crashes
    ]
    return {"name": pack_fingerprint(case.name).hex(), "crashes": crashes}


def _read_case(raw: Any, now: float) -> CrashRecord:
    """Return the case of a stored form; raise BadEntryError."""
    match raw:
        case {"name": str(name), "crashes": [_, *_] as crashes}:
            try:
                read = tuple(_read_crash(crash, now) for crash in crashes)
                return CrashRecord(unpack_fingerprint(bytes.fromhex(name)), read)
            except (ValueError, TypeError, KeyError) as error:
                raise BadEntryError("a quarantine", "requests", raw, repr(error)) from None
    raise BadEntryError("a quarantine", "requests", raw, "a field is missing or of another type")


def _read_crash(raw: Any, now: float) -> Crash:
    age = time.time() - check_integer(raw["at"], 0, MAX_INT64) / 1000
    # A clock of the platform's hosts may be ahead of this one's.
    return Crash(check_text(raw["start"]), now - min(max(age, 0.0), CRASH_RETENTION_SECONDS))


def _now() -> float:
    return asyncio.get_running_loop().time()
