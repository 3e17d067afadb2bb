"""Seeded faults outside the gateways: signals, proxies, the store, upstreams, changes."""

import asyncio
import contextlib
import itertools
import random
import signal
from collections import defaultdict

from swifttrestle_standins.hosted.cuts import Cut
from swifttrestle_standins.hosted.upstreams import DEADLY, DEADLY_PROMPT, StandInEngine
from tests.common.http import ask
from tests.hosted.sites import LONG, SHORT, script
from tests.soak import promises
from tests.soak.processes import GRACE_SECONDS, KEY
from tests.soak.proxy import ProxyMode
from tests.soak.regions import Regions

# Seconds that a planned stop may take beyond its grace period, also on a busy machine.
STOP_TOLERANCE_SECONDS = 10
# Start time that the first restarted upstream reports, in Unix ms; each next one is 1 ms later.
FIRST_START_UNIX_MS = 1764720000000
# Malformed entries of other writers, and invalid fields that they write into valid entries.
MALFORMED_ENTRIES = (
    b"{}",
    b"null",
    b'{"metadata":{"name":"s0","revision":"x"},"spec":{}}',
    b'{"metadata":{"name":"x","revision":1},"spec":{"service":"\xff\xfe"}}',
)
INVALID_FIELDS = (
    ("state", "banana"),
    ("slots", -3),
    ("address", "host.example:80"),
    ("service", 7),
)
# Requests that crash their upstreams: path, body prefix, headers. Those with an empty prefix have a
# part of their prompts in common, and differ otherwise.
DEADLY_KINDS = (
    ("/card/a", DEADLY, {}),
    ("/goal/a", DEADLY, {}),
    ("/verdict/a", DEADLY, {"X_Token_Usage": SHORT}),
    ("/verdict/a", DEADLY_PROMPT, {"X_Token_Usage": LONG}),
    ("/verdict/a", b"", {"X_Token_Usage": SHORT}),
    ("/verdict/a", b"", {"X_Token_Usage": LONG}),
)
# Timeout of one attempt of a deadly request.
DEADLY_TIMEOUT_SECONDS = 3.0
# Limits that upstreams announce.
LIMITS_PER_SECOND = (0.5, 2.9, 8.0)
# Restores of the store: maximum age of the copy, maximum outage, and the time in which the
# operator and the upstreams repeat their writes.
MAX_COPY_AGE_SECONDS, MAX_OUTAGE_SECONDS, REWRITE_SECONDS = 5.0, 2.0, 2.0
# Durations of a host's cut and of an upstream's silence: the minimum, and what may be added.
CUT_SECONDS, MORE_CUT_SECONDS = 1.0, 4.0
SILENCE_SECONDS, MORE_SILENCE_SECONDS = 1.0, 0.5
# Breaks of streams in a round: how many, the most streams of an engine that each breaks, and the
# seconds of each event meanwhile.
STREAM_BREAKS, BROKEN_STREAMS, SLOW_EVENT_SECONDS = 3, 6, 0.03
FAILURE_STEPS = ("busy", "reset", "reset-after", "crossed", "unsigned", "fail", "cut")


def name_part(number):
    """Return the name of a part that crashes engines."""
    return f"{promises.PART_PREFIX}{number}"


class Faults:
    """Injects faults one after another; `findings` are violations that the faults detect."""

    def __init__(self, site, rng):
        self._site = site
        self._rng = rng
        # Faults in progress draw in an order that depends on timing; the next ones must not.
        self._schedule = random.Random(rng.random())
        self._tasks = set()
        self._busy_hosts = set()
        self._start_times = itertools.count(FIRST_START_UNIX_MS)
        self._deadly_numbers = itertools.count(1)
        self._key_numbers = itertools.count(1)
        self._end = 0.0
        self.log = []
        self.findings = []
        # The times at which stopped processes had exited, by host.
        self.exits = defaultdict(list)
        # The planned stops of hosts.
        self.outages = []
        # The limits that upstreams announced, with their times.
        self.limits = []
        self.region_cuts = []

    def list_kinds(self, planned):
        """Return the faults to draw from."""
        kinds = [self.stop, self.reload, self.change_configuration, self.announce_limit]
        kinds += [self.silence_upstream]
        if not planned:
            kinds += [
                self.kill,
                self.pause,
                self.disturb_proxy,
                self.reset_proxy,
                self.stop_store,
                self.drain,
            ]
            kinds += [
                self.fail_requests,
                self.restart,
                self.add_malformed_entry,
                self.overwrite,
                self.send_deadly_requests,
            ]
            kinds += [self.revoke, self.reclaim, self.kill_holder, self.lose_duty_answers]
            kinds += [self.request_cool_down, self.announce_leaving, self.restore_store]
            # A cut loses requests that may not be repeated, which planned work may not.
            kinds += [self.cut_host]
        return kinds

    async def run(self, seconds, planned, has_regions=False):
        kinds = self.list_kinds(planned)
        self._end = end = asyncio.get_running_loop().time() + seconds
        if not planned:
            self._tasks.add(asyncio.ensure_future(self._break_streams(seconds)))
        if has_regions:
            self._tasks.add(asyncio.ensure_future(self._cut_regions(seconds)))
        while asyncio.get_running_loop().time() < end:
            kind = self._schedule.choice(kinds)
            self.log.append(kind.__name__)
            task = asyncio.ensure_future(kind())
            self._tasks.add(task)
            await asyncio.sleep(0.1 + self._schedule.random() * 0.7)
        # Each fault ends itself; the round continues once all have.
        await asyncio.gather(*self._tasks)

    async def _break_streams(self, seconds):
        """Have engines break off streams beside the other faults, so that callers take them up."""
        engines = [item for item in self._site.initial_upstreams if isinstance(item, StandInEngine)]
        usual_seconds = engines[0].seconds
        for _ in range(STREAM_BREAKS):
            await asyncio.sleep(seconds / (2 * STREAM_BREAKS))
            for engine in engines:
                engine.seconds = SLOW_EVENT_SECONDS
                engine.script.steps.extend(["cut-early"] * BROKEN_STREAMS)
            await asyncio.sleep(seconds / (2 * STREAM_BREAKS))
            for engine in engines:
                engine.seconds = usual_seconds

    async def _cut_regions(self, seconds):
        """Cut the regions off from each other for half of the time, beside the other faults."""
        await asyncio.sleep(seconds / 4)
        self.region_cuts.append(await Regions(self._site).cut(seconds / 2))

    def _pick_host(self):
        """Reserve and return a host without a process fault in progress, or None."""
        free = [host for name, host in self._site.hosts.items() if name not in self._busy_hosts]
        if not free:
            return None
        host = self._rng.choice(free)
        self._busy_hosts.add(host.name)
        return host

    async def _reserve(self, names):
        """Wait until no other process fault of these hosts is in progress, and let none begin."""
        waiting = set(names)
        while waiting:
            free = waiting - self._busy_hosts
            self._busy_hosts |= free
            waiting -= free
            await asyncio.sleep(0.02)

    def _draw_seconds(self, max_seconds):
        return 0.2 + self._rng.random() * (max_seconds - 0.2)

    async def stop(self):
        host = self._pick_host()
        if host is None:
            return
        loop = asyncio.get_running_loop()
        began = loop.time()
        host.send(signal.SIGTERM)
        try:
            await asyncio.wait_for(host.process.wait(), GRACE_SECONDS + STOP_TOLERANCE_SECONDS)
        except TimeoutError:
            self.findings.append(f"{host.name} did not stop within its grace of {GRACE_SECONDS} s")
            await host.kill()
        self.exits[host.name].append(loop.time())
        await host.start()
        self.outages.append(promises.Outage(began, loop.time()))
        self._busy_hosts.discard(host.name)

    async def kill(self):
        host = self._pick_host()
        if host is None:
            return
        await host.kill()
        await asyncio.sleep(self._draw_seconds(0.6))
        await host.start()
        self._busy_hosts.discard(host.name)

    async def pause(self):
        host = self._pick_host()
        if host is None:
            return
        host.send(signal.SIGSTOP)
        await asyncio.sleep(self._draw_seconds(2.5))
        host.send(signal.SIGCONT)
        self._busy_hosts.discard(host.name)

    async def reload(self):
        host = self._pick_host()
        if host is None:
            return
        # SIGHUP would end a process that has not installed its handlers yet.
        if await is_ready(host):
            host.send(signal.SIGHUP)
        self._busy_hosts.discard(host.name)

    async def change_configuration(self):
        timeout = self._rng.choice((1800, 2000, 2200))
        self._site.routes = [{**route, "timeoutMs": timeout} for route in self._site.routes]
        self._site.declare()

    async def disturb_proxy(self):
        proxy = self._rng.choice(list(self._site.proxies.values()))
        proxy.set_mode(self._rng.choice([mode for mode in ProxyMode if mode is not ProxyMode.PASS]))
        await asyncio.sleep(self._draw_seconds(2.0))
        proxy.set_mode(ProxyMode.PASS)

    async def reset_proxy(self):
        self._rng.choice(list(self._site.proxies.values())).reset()

    async def cut_host(self):
        """Cut some hosts, but never all, from all upstreams."""
        cuts = self._site.cuts
        free = sorted(set(self._site.hosts) - cuts.hosts)
        if len(free) < 2:
            return
        names = self._rng.sample(free, self._rng.randint(1, len(free) - 1))
        form = self._rng.choice(list(Cut))
        for name in names:
            cuts.start(name, form)
        await asyncio.sleep(CUT_SECONDS + self._rng.random() * MORE_CUT_SECONDS)
        for name in names:
            cuts.end(name)

    async def silence_upstream(self):
        """Have a sound upstream send nothing and then go on."""
        upstream = self._rng.choice(self._site.initial_upstreams)
        # Hosts can't know in time of a limit that a silent upstream does not send.
        if self._is_silent(upstream) or upstream.extra_headers:
            return
        proxy = self._site.proxies[upstream.instance]
        proxy.set_mode(ProxyMode.HOLD_ANSWERS)
        await asyncio.sleep(SILENCE_SECONDS + self._rng.random() * MORE_SILENCE_SECONDS)
        proxy.set_mode(ProxyMode.PASS)

    def _is_silent(self, upstream):
        return self._site.proxies[upstream.instance].mode is not ProxyMode.PASS

    async def stop_store(self):
        self._site.store.faults.down = True
        self._site.store.notify_watches()
        await asyncio.sleep(self._draw_seconds(2.0))
        self._site.store.faults.down = False

    async def restore_store(self):
        """Restore the store from a copy; operator and upstreams repeat writes in random order."""
        store = self._site.store
        copy = store.copy_contents()
        await asyncio.sleep(self._draw_seconds(MAX_COPY_AGE_SECONDS))
        store.faults.down = self._rng.random() < 0.7
        store.notify_watches()
        await asyncio.sleep(self._draw_seconds(MAX_OUTAGE_SECONDS) * store.faults.down)
        store.faults.down = False
        store.restore(copy)
        if self._rng.random() < 0.5:
            self._site.proxies["store"].reset()
        written = store.list_written()
        self._rng.shuffle(written)
        for kind, name in written:
            await asyncio.sleep(self._rng.random() * REWRITE_SECONDS / len(written))
            store.repeat_write(kind, name)

    async def drain(self):
        upstream = self._rng.choice(self._site.initial_upstreams)
        self._site.list_upstream(upstream, "draining")
        await asyncio.sleep(self._draw_seconds(2.5))
        self._site.list_upstream(upstream)

    async def restart(self):
        upstream = self._rng.choice(self._site.initial_upstreams)
        self._site.restart_upstream(upstream, next(self._start_times), cut=self._rng.random() < 0.5)

    async def add_malformed_entry(self):
        name = f"stray{self._rng.randrange(100)}"
        self._site.store.put_raw("servers", name, self._rng.choice(MALFORMED_ENTRIES))
        await asyncio.sleep(self._draw_seconds(2.0))
        self._site.store.remove("servers", name)

    async def overwrite(self):
        """Overwrite an upstream's entry with an invalid field, as another writer does."""
        upstream = self._rng.choice(self._site.initial_upstreams)
        record = upstream.record(self._site.addresses[upstream.instance])
        field, value = self._rng.choice(INVALID_FIELDS)
        self._site.store.put("servers", upstream.instance, {**record, field: value})
        await asyncio.sleep(self._draw_seconds(1.5))
        self._site.list_upstream(upstream)

    async def send_deadly_requests(self):
        """Send a request that crashes its upstreams repeatedly until the faults end."""
        path, body, headers = self._rng.choice(DEADLY_KINDS)
        number = next(self._deadly_numbers)
        attempts = itertools.count(1)
        if not body:
            self._add_deadly_part(number)
        while asyncio.get_running_loop().time() < self._end:
            host = self._rng.choice(list(self._site.hosts.values()))
            attempt = next(attempts)
            name = f"deadly-{number}-{attempt}"
            content = body + b" %d" % number if body else b"differs %d" % attempt
            if not body:
                headers = {**headers, "X_Prompt_Prefix": f"{name_part(number)}:20,{name}:20"}
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(DEADLY_TIMEOUT_SECONDS):
                    await ask(host.callers, path, name, body=content, X_Key=KEY, **headers)
            await asyncio.sleep(self._draw_seconds(0.5))

    def _add_deadly_part(self, number):
        """Let a part of prompts crash the engines that write an answer on it."""
        for upstream in self._site.upstreams.values():
            upstream.deadly_parts |= {name_part(number)}

    async def revoke(self):
        self._site.replace_key(f"passing-{next(self._key_numbers)}")

    async def reclaim(self):
        """Reclaim all reclaimable engines of a zone, which has no such capacity for a while."""
        zone = self._rng.choice(["hall-a", "hall-b"])
        self._site.duties.reclaim(zone, self._draw_seconds(0.8))
        await asyncio.sleep(self._draw_seconds(2.0))
        self._site.duties.faults.dry_zones.discard(zone)

    async def kill_holder(self):
        """Kill the host that sent the last duty call."""
        calls = self._site.duties.calls
        name = calls[-1].holder.partition("@")[0] if calls else ""
        host = self._site.hosts.get(name)
        if host is None or name in self._busy_hosts:
            return
        self._busy_hosts.add(name)
        await host.kill()
        await asyncio.sleep(self._draw_seconds(0.6))
        await host.start()
        self._busy_hosts.discard(name)

    async def lose_duty_answers(self):
        self._site.duties.faults.lose_answers += 1

    async def announce_limit(self):
        """Announce a rate limit in an upstream's responses until after hosts must know of it."""
        upstream = self._rng.choice(self._site.initial_upstreams)
        if upstream.extra_headers or self._is_silent(upstream):
            return
        rate = self._rng.choice(LIMITS_PER_SECOND)
        loop = asyncio.get_running_loop()
        began = loop.time()
        upstream.extra_headers = [(b"Server-Limit", f"{rate}".encode())]
        await asyncio.sleep(promises.LIMIT_KNOWN_SECONDS + self._draw_seconds(4.0))
        upstream.extra_headers = []
        self.limits.append(promises.AnnouncedLimit(upstream, rate, began, loop.time()))

    async def request_cool_down(self):
        upstream = self._rng.choice(self._site.initial_upstreams)
        upstream.rest = self._rng.choice((b"0.3", b"1.5", b"soon"))
        await asyncio.sleep(self._draw_seconds(2.0))
        upstream.rest = b""

    async def announce_leaving(self):
        """Announce in an upstream's responses only that it is draining, then restart it."""
        upstream = self._rng.choice(self._site.initial_upstreams)
        if upstream.extra_headers:
            return
        upstream.extra_headers = [(b"Server-Leaving", b"1")]
        await asyncio.sleep(self._draw_seconds(2.5))
        upstream.extra_headers = []
        self._site.restart_upstream(upstream, next(self._start_times))

    async def fail_requests(self):
        script(self._site, self._rng.choice("se"), *self._rng.choices(FAILURE_STEPS, k=4))


async def is_ready(host):
    """Return whether a host's readiness check succeeds."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(*host.ready)
            try:
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: h\r\n\r\n")
                line = await reader.readline()
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return False
    return b" 200 " in line
