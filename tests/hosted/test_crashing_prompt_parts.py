"""Requests that differ but for one part of their prompts, which crashes each engine it runs on."""

import asyncio
import itertools
from dataclasses import dataclass, field

import pytest

from swifttrestle.internal.policy import scheduling
from swifttrestle.internal.state.fingerprints import fingerprint_part
from swifttrestle.internal.transport.messages import Framing
from swifttrestle_standins.hosted.site import wait_until
from swifttrestle_standins.hosted.upstreams import read_parts
from tests.common.http import Answer, ask
from tests.hosted.sites import LONG, SHORT, address_of, on_site
from tests.hosted.test_crashing_requests import LATER_START_MS, restart_hosts
from tests.hosted.test_starts import report_starts

ENGINES = ("prefill",) * 4 + ("decode",) * 10
HOSTS = ("g0", "g1", "g2")
RESTART_SECONDS = 2.0
# The bound contactMs: from then on after the fifth crash few requests with the part are sent.
CONTACT_SECONDS = 3.0
CRASHES_COUNTED = 5
# Requests with the part that may reach upstreams later than that.
MAX_LATER_ARRIVALS = 3
# Sound requests are served at least half as often as before from twice that time on.
MIN_SERVED_SHARE = 0.5
SOUND_SECONDS = 0.05
DEADLY_SECONDS = 0.25
BEFORE_SECONDS = 2.0
DEADLY_FOR_SECONDS = 13.0
# Seconds after the time from which on sound requests count.
AFTER_SECONDS = 1.5
FIRST_PART, DEADLY_PART, SECOND_DEADLY_PART = "f1f1", "dead1", "dead2"
# Ordinary crashes in a row, the seconds between two, and the share of streams served meanwhile.
ORDINARY_CRASHES, ORDINARY_SECONDS, MIN_SERVED_AT_ORDINARY_CRASHES = 12, 0.4, 0.9
# Parts that some sound requests share with those that crash engines.
MIDDLE_PARTS = ("b0", "b1", "b2", "b3")


@dataclass(frozen=True)
class Call:
    """One request of the load, with the time at which it was sent and its answer's status."""

    sent_at: float
    deadly: bool
    status: int
    whole: bool


@dataclass
class Load:
    """Calls of sound requests, and from some moment on of deadly ones beside them."""

    site: object
    path: str = "/verdict/"
    sizes: str = SHORT
    deadly: tuple[str, ...] = (DEADLY_PART,)
    # The parts of a deadly prompt, without its own.
    layout: tuple[str, ...] = (FIRST_PART, "{middle}", "{deadly}")
    # The parts of a sound prompt, without its own.
    sound_layout: tuple[str, ...] = (FIRST_PART, "{middle}")
    calls: list[Call] = field(default_factory=list)

    def __post_init__(self):
        self._numbers = itertools.count()
        self._tasks = set()
        for upstream in self.site.upstreams.values():
            upstream.deadly_parts = frozenset(self.deadly)

    async def run(self):
        """Send sound requests; after BEFORE_SECONDS deadly ones as well."""
        sound = asyncio.ensure_future(self.send_continuously(SOUND_SECONDS, deadly=False))
        await asyncio.sleep(BEFORE_SECONDS)
        deadly = asyncio.ensure_future(self.send_continuously(DEADLY_SECONDS, deadly=True))
        await asyncio.sleep(DEADLY_FOR_SECONDS)
        await wait_until(self._is_long_after, "few crashes")
        for task in (sound, deadly):
            task.cancel()
        await self.finish()

    async def finish(self):
        """Wait for the last calls."""
        await asyncio.gather(*self._tasks)

    def _is_long_after(self):
        last = max(self.find_last_counted_crash(part) for part in self.deadly)
        return now() >= last + 2 * CONTACT_SECONDS + AFTER_SECONDS

    async def send_continuously(self, seconds, deadly):
        while True:
            task = asyncio.ensure_future(self._call(next(self._numbers), deadly))
            self._tasks.add(task)
            await asyncio.sleep(seconds)

    async def _call(self, number, deadly):
        layout = self.layout if deadly else self.sound_layout
        names = {
            "middle": MIDDLE_PARTS[number % len(MIDDLE_PARTS)],
            "deadly": self.deadly[number % len(self.deadly)],
        }
        parts = [item.format(**names) for item in (*layout, f"own{number}")]
        sent_at = now()
        try:
            answer = await ask(
                address_of(self.site, HOSTS[number % len(HOSTS)]),
                f"{self.path}p{number}",
                f"r{number}",
                body=b"body %d" % number,
                X_Model="m",
                X_Token_Usage=self.sizes,
                X_Prompt_Prefix=",".join(f"{part}:20" for part in parts),
            )
        except OSError:
            # Its host restarts: the request is not served.
            answer = Answer(0, whole=False)
        self.calls.append(Call(sent_at, deadly, answer.status, answer.whole))

    def find_last_counted_crash(self, part):
        """Return when the fifth engine crashed, or the last one if there were fewer."""
        times = sorted(self.site.crash_times[part.encode()])
        return times[:CRASHES_COUNTED][-1]

    def count_later_arrivals(self, part):
        """Return the requests with a part that reached engines CONTACT_SECONDS after its crash."""
        times = sorted(self.site.crash_times[part.encode()])
        if len(times) < CRASHES_COUNTED:
            return 0
        later = times[CRASHES_COUNTED - 1] + CONTACT_SECONDS
        return sum(
            at > later and part in read_parts(headers)
            for upstream in self.site.upstreams.values()
            for at, (_, headers) in zip(upstream.arrived_at, upstream.arrivals, strict=True)
        )

    def find_served_share(self, begin, end):
        """Return the share of the sound requests sent between two times that were served."""
        statuses = [
            item.status == 200 and item.whole
            for item in self.calls
            if not item.deadly and begin <= item.sent_at < end
        ]
        return sum(statuses) / len(statuses)


def now():
    return asyncio.get_running_loop().time()


def assert_contained(load, began_at):
    """Check that few deadly requests were sent, and that sound ones were served beside them."""
    arrivals = {part: load.count_later_arrivals(part) for part in load.deadly}
    last = max(load.find_last_counted_crash(part) for part in load.deadly)
    before = load.find_served_share(began_at, began_at + BEFORE_SECONDS)
    after = load.find_served_share(last + 2 * CONTACT_SECONDS, began_at + 60)
    print(f"crashes {len(load.site.crashes)}, later arrivals {arrivals}, served {before} {after}")
    assert all(count <= MAX_LATER_ARRIVALS for count in arrivals.values())
    assert after >= MIN_SERVED_SHARE * before


async def start(site):
    """Have the engines crash; return the time."""
    await report_starts(site)
    site.allow_crashes(RESTART_SECONDS, LATER_START_MS)
    return now()


CASES = {
    "short prompts": {},
    "long prompts": {"sizes": LONG},
    "the first part": {"layout": ("{deadly}", "{middle}")},
    "the only shared part": {"layout": ("{deadly}",), "sound_layout": (FIRST_PART,)},
    "not resumable": {"path": "/chat/"},
    "two parts": {"deadly": (DEADLY_PART, SECOND_DEADLY_PART)},
    "sound requests with all other parts": {"layout": (FIRST_PART, "b0", "{deadly}")},
}


@pytest.mark.parametrize("changes", CASES.values(), ids=CASES)
@on_site(gateways=3, engines=ENGINES)
async def test_a_part_that_crashes_engines_reaches_few_and_others_are_served(site, changes):
    began_at = await start(site)
    load = Load(site, **changes)
    await load.run()
    assert_contained(load, began_at)


WRITTEN = {
    "one event": (1, Framing.CHUNKED),
    "two events": (2, Framing.CHUNKED),
    "two events without framing": (2, Framing.CLOSE),
}


@pytest.mark.parametrize(("events", "framing"), WRITTEN.values(), ids=WRITTEN)
@on_site(gateways=3, engines=ENGINES)
async def test_events_before_the_crash_do_not_clear_the_part(site, events, framing):
    began_at = await start(site)
    for upstream in site.upstreams.values():
        upstream.events_before_crash = events
        upstream.framing = framing
    load = Load(site)
    await load.run()
    assert_contained(load, began_at)


@pytest.mark.parametrize("sizes", [SHORT, LONG], ids=["short prompts", "long prompts"])
@on_site(gateways=3, engines=ENGINES)
async def test_parts_that_stand_at_ordinary_crashes_are_not_refused(site, sizes):
    await start(site)
    load = Load(site, sizes=sizes)
    decoding = [item for item in site.upstreams.values() if getattr(item, "role", "") == "decode"]
    for upstream in decoding:
        # Streams last long enough to stand at each crash.
        upstream.seconds = 0.05
    sound = asyncio.ensure_future(load.send_continuously(SOUND_SECONDS, deadly=False))
    await asyncio.sleep(BEFORE_SECONDS)
    for number in range(ORDINARY_CRASHES):
        decoding[number % len(decoding)].crash(b"ordinary")
        await asyncio.sleep(ORDINARY_SECONDS)
    sound.cancel()
    await load.finish()
    guards = [item.gateway._state.guard for item in site.gateways.values()]
    parts = [fingerprint_part(name) for name in (FIRST_PART, *MIDDLE_PARTS)]
    assert not any(guard.quarantine.needs_trial(part) for guard in guards for part in parts)
    assert load.find_served_share(0, now()) >= MIN_SERVED_AT_ORDINARY_CRASHES


@on_site(gateways=3, engines=ENGINES)
async def test_a_part_stays_quarantined_as_all_hosts_restart(site):
    began_at = await start(site)
    load = Load(site)
    running = asyncio.ensure_future(load.run())
    await asyncio.sleep(BEFORE_SECONDS)
    await wait_until(lambda: len(site.crashes) >= CRASHES_COUNTED - 1, "crashes")
    await asyncio.sleep(CONTACT_SECONDS)
    crashes = len(site.crashes)
    await restart_hosts(site)
    await running
    assert_contained(load, began_at)
    assert len(site.crashes) <= crashes + 1


@on_site(gateways=3, engines=ENGINES)
async def test_owners_report_a_part_to_all_hosts_of_a_large_fleet(site, monkeypatch):
    monkeypatch.setattr(scheduling, "SMALL_FLEET_HOSTS", 2)
    began_at = await start(site)
    load = Load(site)
    await load.run()
    assert_contained(load, began_at)
