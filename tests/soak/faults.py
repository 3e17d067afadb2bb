"""Seeded faults from outside the gateways: signals, proxies, the store, upstreams, changes."""

import asyncio
import contextlib
import itertools
import signal

from swifttrestle_standins.hosted.upstreams import DEADLY, DEADLY_PROMPT
from tests.common.http import ask
from tests.hosted.sites import LONG, SHORT, script
from tests.soak import promises
from tests.soak.processes import GRACE_SECONDS, KEY
from tests.soak.proxy import Way

# Seconds that a planned stop may take beyond its grace, on a machine that is busy as well.
STOP_SLACK_SECONDS = 10
# The Unix millisecond of the first start that an upstream tells; each next one is a millisecond
# later.
FIRST_START = 1764720000000
# Entries of other writers, and fields that they put into an upstream's own.
STRAYS = (
    b"{}",
    b"null",
    b'{"metadata":{"name":"s0","revision":"x"},"spec":{}}',
    b'{"metadata":{"name":"x","revision":1},"spec":{"service":"\xff\xfe"}}',
)
WRONG_FIELDS = (("state", "banana"), ("slots", -3), ("address", "host.example:80"), ("service", 7))
# Requests that crash their upstreams: where they go, how their bodies begin, how long they are.
DEADLY_KINDS = (
    ("/card/a", DEADLY, {}),
    ("/goal/a", DEADLY, {}),
    ("/verdict/a", DEADLY, {"X_Token_Usage": SHORT}),
    ("/verdict/a", DEADLY_PROMPT, {"X_Token_Usage": LONG}),
)
# Seconds after which their caller gives an attempt up.
DEADLY_PATIENCE = 3.0
# Requests a second that upstreams in need take.
LIMITS = (0.5, 2.9, 8.0)
# Seconds of the oldest copy that a round's store comes back from, of its longest absence, and in
# which the operator and the upstreams have written again.
OLDEST_COPY_SECONDS, LONGEST_AWAY_SECONDS, REWRITTEN_SECONDS = 5.0, 2.0, 2.0
STEPS = ("busy", "reset", "reset-after", "crossed", "unsigned", "fail", "cut")


class Faults:
    """Begins one fault after another; `findings` are promises broken by a fault's own end."""

    def __init__(self, site, rng):
        self._site = site
        self._rng = rng
        self._tasks = set()
        self._busy = set()
        self._starts = itertools.count(FIRST_START)
        self._deadly = itertools.count(1)
        self._keys = itertools.count(1)
        self._end = 0.0
        self.log = []
        self.findings = []
        # The limits that upstreams named, and when.
        self.limits = []

    async def run(self, seconds, planned):
        kinds = [self.stop, self.reload, self.change, self.limit]
        if not planned:
            kinds += [self.kill, self.pause, self.hold, self.reset, self.outage, self.drain]
            kinds += [self.spoil, self.restart, self.stray, self.overwrite, self.deadly]
            kinds += [self.revoke, self.reclaim, self.kill_holder, self.lose_duty_answers]
            kinds += [self.rest, self.announce_leaving, self.lose_writes]
        self._end = end = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end:
            kind = self._rng.choice(kinds)
            self.log.append(kind.__name__)
            task = asyncio.ensure_future(kind())
            self._tasks.add(task)
            await asyncio.sleep(0.1 + self._rng.random() * 0.7)
        # Each fault heals itself; the round goes on once all have.
        await asyncio.gather(*self._tasks)

    def _pick_host(self):
        """Return a host that no other signal is at work on, or None."""
        free = [host for name, host in self._site.hosts.items() if name not in self._busy]
        if not free:
            return None
        host = self._rng.choice(free)
        self._busy.add(host.name)
        return host

    def _some_time(self, longest):
        return 0.2 + self._rng.random() * (longest - 0.2)

    async def stop(self):
        host = self._pick_host()
        if host is None:
            return
        host.send(signal.SIGTERM)
        try:
            await asyncio.wait_for(host.process.wait(), GRACE_SECONDS + STOP_SLACK_SECONDS)
        except TimeoutError:
            self.findings.append(f"{host.name} outlasts its grace")
            await host.kill()
        await host.start()
        self._busy.discard(host.name)

    async def kill(self):
        host = self._pick_host()
        if host is None:
            return
        await host.kill()
        await asyncio.sleep(self._some_time(0.6))
        await host.start()
        self._busy.discard(host.name)

    async def pause(self):
        host = self._pick_host()
        if host is None:
            return
        host.send(signal.SIGSTOP)
        await asyncio.sleep(self._some_time(2.5))
        host.send(signal.SIGCONT)
        self._busy.discard(host.name)

    async def reload(self):
        host = self._pick_host()
        if host is None:
            return
        # A process that has not set its handlers up yet would end; real platforms wait as well.
        if await is_ready(host):
            host.send(signal.SIGHUP)
        self._busy.discard(host.name)

    async def change(self):
        timeout = self._rng.choice((1800, 2000, 2200))
        self._site.routes = [{**route, "timeoutMs": timeout} for route in self._site.routes]
        self._site.declare()

    async def hold(self):
        proxy = self._rng.choice(list(self._site.proxies.values()))
        proxy.set_way(self._rng.choice([way for way in Way if way is not Way.PASS]))
        await asyncio.sleep(self._some_time(2.0))
        proxy.set_way(Way.PASS)

    async def reset(self):
        self._rng.choice(list(self._site.proxies.values())).reset()

    async def outage(self):
        self._site.store.faults.down = True
        self._site.store.wake()
        await asyncio.sleep(self._some_time(2.0))
        self._site.store.faults.down = False

    async def lose_writes(self):
        """Have the store come back from a copy, and others write again, late and in any order."""
        store = self._site.store
        copy = store.take_copy()
        await asyncio.sleep(self._some_time(OLDEST_COPY_SECONDS))
        store.faults.down = self._rng.random() < 0.7
        store.wake()
        await asyncio.sleep(self._some_time(LONGEST_AWAY_SECONDS) * store.faults.down)
        store.faults.down = False
        store.come_back(copy)
        if self._rng.random() < 0.5:
            self._site.proxies["store"].reset()
        written = store.list_written()
        self._rng.shuffle(written)
        for kind, name in written:
            await asyncio.sleep(self._rng.random() * REWRITTEN_SECONDS / len(written))
            store.write_again(kind, name)

    async def drain(self):
        upstream = self._rng.choice(self._site.fixed)
        self._site.list_upstream(upstream, "draining")
        await asyncio.sleep(self._some_time(2.5))
        self._site.list_upstream(upstream)

    async def restart(self):
        upstream = self._rng.choice(self._site.fixed)
        self._site.restart_upstream(upstream, next(self._starts), cut=self._rng.random() < 0.5)

    async def stray(self):
        name = f"stray{self._rng.randrange(100)}"
        self._site.store.put_raw("servers", name, self._rng.choice(STRAYS))
        await asyncio.sleep(self._some_time(2.0))
        self._site.store.remove("servers", name)

    async def overwrite(self):
        """Have another writer put something else in the place of an upstream's entry."""
        upstream = self._rng.choice(self._site.fixed)
        record = upstream.record(self._site.addresses[upstream.instance])
        field, value = self._rng.choice(WRONG_FIELDS)
        self._site.store.put("servers", upstream.instance, {**record, field: value})
        await asyncio.sleep(self._some_time(1.5))
        self._site.list_upstream(upstream)

    async def deadly(self):
        """Have a caller send a request that crashes its upstreams, until the faults are over."""
        path, body, headers = self._rng.choice(DEADLY_KINDS)
        number = next(self._deadly)
        body += b" %d" % number
        attempts = itertools.count(1)
        while asyncio.get_running_loop().time() < self._end:
            host = self._rng.choice(list(self._site.hosts.values()))
            name = f"deadly-{number}-{next(attempts)}"
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(DEADLY_PATIENCE):
                    await ask(host.callers, path, name, body=body, X_Key=KEY, **headers)
            await asyncio.sleep(self._some_time(0.5))

    async def revoke(self):
        self._site.replace_key(f"passing-{next(self._keys)}")

    async def reclaim(self):
        """Take all reclaimable engines of a zone away, and have none there for a while."""
        zone = self._rng.choice(["hall-a", "hall-b"])
        self._site.duties.reclaim(zone, self._some_time(0.8))
        await asyncio.sleep(self._some_time(2.0))
        self._site.duties.faults.dry_zones.discard(zone)

    async def kill_holder(self):
        """Kill the host that made the last duty call."""
        calls = self._site.duties.calls
        name = calls[-1].holder.partition("@")[0] if calls else ""
        host = self._site.hosts.get(name)
        if host is None or name in self._busy:
            return
        self._busy.add(name)
        await host.kill()
        await asyncio.sleep(self._some_time(0.6))
        await host.start()
        self._busy.discard(name)

    async def lose_duty_answers(self):
        self._site.duties.faults.lose_answers += 1

    async def limit(self):
        """Have an upstream name a limit in all its answers, for longer than hosts may learn it."""
        upstream = self._rng.choice(self._site.fixed)
        if upstream.says:
            return
        rate = self._rng.choice(LIMITS)
        loop = asyncio.get_running_loop()
        began = loop.time()
        upstream.says = [(b"Server-Limit", f"{rate}".encode())]
        await asyncio.sleep(promises.LEARN_SECONDS + self._some_time(4.0))
        upstream.says = []
        self.limits.append(promises.NamedLimit(upstream, rate, began, loop.time()))

    async def rest(self):
        upstream = self._rng.choice(self._site.fixed)
        upstream.rest = self._rng.choice((b"0.3", b"1.5", b"soon"))
        await asyncio.sleep(self._some_time(2.0))
        upstream.rest = b""

    async def announce_leaving(self):
        """Have an upstream say in its answers alone that it leaves, and then start anew."""
        upstream = self._rng.choice(self._site.fixed)
        if upstream.says:
            return
        upstream.says = [(b"Server-Leaving", b"1")]
        await asyncio.sleep(self._some_time(2.5))
        upstream.says = []
        self._site.restart_upstream(upstream, next(self._starts))

    async def spoil(self):
        script(self._site, self._rng.choice("se"), *self._rng.choices(STEPS, k=4))


async def is_ready(host):
    """Return whether a host says that it is ready."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(*host.ready)
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: h\r\n\r\n")
            line = await reader.readline()
            writer.close()
    except (OSError, TimeoutError):
        return False
    return b" 200 " in line
