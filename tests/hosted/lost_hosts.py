"""A site whose hosts are lost or replaced while streams wait to be taken up by their callers."""

import asyncio
import itertools
from collections import Counter
from dataclasses import dataclass

from swifttrestle.codes import Code
from swifttrestle.internal.protocol.stream_records import DEFAULTS_NAME, STREAM_KIND
from swifttrestle_standins.hosted.cuts import Cut
from swifttrestle_standins.hosted.site import make_model_service, make_route, wait_until
from swifttrestle_standins.hosted.upstreams import Script, StandInEngine
from tests.common.http import Answer, ask
from tests.hosted.sites import LONG, SHORT, address_of, build_site, make_stream

OLD, NEW, THIRD = "v1", "v2", "v3"
HOSTS = tuple(f"g{number}" for number in range(5))
STREAMS = 30
EVENTS = 4
# Events of a stream before it breaks off.
SEEN = 2
# Streams that are taken up at once.
AT_ONCE = 6
# Engines of a version that decode, and the streams that each one may run at once.
DECODERS, SLOTS = 3, 16
MODEL, OTHER = "model", "other"
# Seconds between the replacements of two hosts.
REPLACE_SECONDS = 0.2
# Seconds after the choice of default origins within which all hosts must know them.
SETTLE_SECONDS = 2.5


class AlwaysCut(Script):
    """Has each stream break off after two events."""

    def take(self):
        return "cut"


@dataclass(frozen=True)
class TakeUp:
    """A stream that its caller took up: where it began, the request's id and its answer."""

    origin: tuple[str, str]
    name: str
    answer: Answer

    def goes_on(self):
        """Return whether the caller got the whole rest of its stream."""
        rest = make_stream(self.name, EVENTS)[len(make_stream(self.name, SEEN)) :]
        return (self.answer.status, self.answer.whole, self.answer.body) == (200, True, rest)

    def is_refused(self):
        """Return whether the host refused it for its version."""
        code = f'"code":{int(Code.STREAM_VERSION_GONE)}'.encode()
        return self.answer.status == 503 and code in self.answer.body.replace(b" ", b"")


class Play:
    """Begins streams, loses hosts and lets engines come and leave; then takes the streams up."""

    def __init__(self, site):
        self.site = site
        self._down = set()
        # The hosts that are cut off, each with those that it reaches all the same.
        self._cut_off = {}
        self._engines = {}
        self._streams = itertools.count(1)
        # The broken streams by their origin: service and version.
        self.begun = {}

    # Engines.

    async def arrive(self, *builds, service=MODEL, prefills=1, decoders=DECODERS):
        """Start engines of these versions; return once all hosts that serve list them."""
        for build in builds:
            group = self.list_group(service, build)
            for role in ["prefill"] * prefills + ["decode"] * decoders:
                name = f"e{len(self.site.upstreams)}"
                engine = StandInEngine(name, service, "hall-a", role, SLOTS)
                engine.build = build
                await self.site.add_upstream(engine)
                group.append(engine)
        await self.wait_listed()

    def list_group(self, service, build):
        """Return the engines of a version that serve; may be extended."""
        return self._engines.setdefault((service, build), [])

    async def leave(self, build, service=MODEL, drains=True, stops=True):
        """Have all engines of a version leave; return once no host that serves lists them."""
        leaving = self._engines.pop((service, build))
        if drains:
            for engine in leaving:
                self.site.list_upstream(engine, "draining")
        for engine in leaving:
            self.site.unlist_upstream(engine)
        await self.wait_listed()
        if stops:
            for engine in leaving:
                await self.stop_engine(engine)

    def restart_as(self, build, engines):
        """Restart engines under their ids and addresses at another version."""
        for engine in engines:
            # What ran before did so at the former version.
            engine.arrivals.clear()
            engine.build = build
            self.site.restart_upstream(engine, engine.born + 1)

    async def stop_engine(self, engine):
        """Reset an engine's connections and close its port."""
        await self.site.stop_upstream(engine)

    async def wait_listed(self):
        """Wait until all hosts that serve list exactly the engines that serve."""
        expected = {name_start(item) for group in self._engines.values() for item in group}
        for name in self.list_up():
            known = self.site.gateways[name].gateway.list_instances
            await wait_until(lambda k=known: set(k()) == expected, f"the engines at {name}")

    def stop_role_planning(self):
        """Have no host order role changes any more."""
        for running in self.site.gateways.values():
            for task in running.gateway._tasks._tasks:
                if task.get_name() == "roles":
                    task.cancel()

    # Hosts.

    def list_up(self):
        """Return the names of the hosts that serve."""
        out = self._down | self._cut_off.keys()
        return [name for name in self.site.gateways if name not in out]

    async def lose(self, *names):
        """End hosts at once, without a word to anybody."""
        tasks = [self.site.gateways[name].task for name in names]
        for task in tasks:
            task.cancel()
        self._down.update(names)
        await asyncio.gather(*tasks, return_exceptions=True)

    async def start(self, *names):
        """Start hosts, without memory of their former starts, and wait until they serve."""
        for name in names:
            await self.site.add_gateway(name, HOSTS.index(name))
            self._down.discard(name)
        await self.site.wait_ready(*names)
        await self.wait_listed()

    async def lose_all(self):
        await self.lose(*self.list_up())

    async def start_all(self):
        await self.start(*HOSTS)

    async def replace_in_turn(self, *names):
        """Replace hosts one after another, faster than they become ready."""
        for name in names:
            await self.lose(name)
            await self.site.add_gateway(name, HOSTS.index(name))
            self._down.discard(name)
            await asyncio.sleep(REPLACE_SECONDS)
        await self.site.wait_ready(*names)
        await self.wait_listed()

    def cut_from_peers(self, *names):
        """Let hosts send datagrams to each other alone, and get none of others."""
        reached = {self.site.gateways[name].settings.ip for name in names}
        for name in names:
            _filter_datagrams(self._find_socket(name), reached - {self._find_ip(name)})

    def cut_off(self, *names):
        """Cut hosts off from the store and from all hosts but each other; callers reach them."""
        self.cut_from_peers(*names)
        for name in names:
            self.site.gateways[name].store_paths.start_cut(Cut.HANG)
            self._cut_off[name] = names

    def end_cuts(self):
        """End all cuts; the hosts learn what they missed from then on."""
        for name in self._cut_off:
            socket = self._find_socket(name)
            del socket.send, socket.datagram_received
            self.site.gateways[name].store_paths.heal()
        self._cut_off = {}

    async def heal(self):
        """End all cuts; return once all hosts know each other and list the engines."""
        self.end_cuts()
        await wait_until(lambda: all_know_each_other(self.site), "all hosts to be known")
        await self.wait_listed()

    async def wait_alone(self, *names):
        """Wait until cut off hosts count all others as lost."""
        for name in names:
            live = self.site.gateways[name].gateway.live_hosts
            await wait_until(lambda k=live: set(k()) <= set(names), f"{name} alone")

    def _find_socket(self, name):
        return self.site.gateways[name].gateway._streams._socket

    def _find_ip(self, name):
        return self.site.gateways[name].settings.ip

    # Streams.

    async def begin(self, count=STREAMS, may_refuse=False, hosts=(), tries=1):
        """Have callers begin streams at hosts, or at all, each broken off after two events.

        With `may_refuse`, hosts may refuse to begin some, or end them without an event. Callers
        that are told to come again as all engines are in use do so, with `tries` in all.
        """
        names = [f"s{next(self._streams)}" for _ in range(count)]
        decoders = self._list_decoders()
        for engine in decoders:
            engine.script = AlwaysCut()
            engine.hold.clear()
        tasks = {
            name: asyncio.ensure_future(self._begin(name, number, hosts or self.list_up(), tries))
            for number, name in enumerate(names)
        }
        # All run at once, so that they spread over the engines of all versions.
        await wait_until(
            lambda: all(task.done() or self.list_origins(name) for name, task in tasks.items()),
            "the streams at engines",
        )
        for engine in decoders:
            engine.hold.set()
        answers = await asyncio.gather(*tasks.values())
        for engine in decoders:
            engine.script = Script()
        for name, answer in zip(names, answers, strict=True):
            if may_refuse and (answer.status != 200 or not answer.body):
                continue
            assert (answer.status, answer.whole) == (200, False), (answer.status, answer.body)
            assert answer.body.startswith(make_stream(name, SEEN))
            (self.begun[name],) = self.list_origins(name)

    def _list_decoders(self):
        engines = [item for group in self._engines.values() for item in group]
        return [item for item in engines if item.role == "decode"]

    async def _begin(self, name, number, hosts, tries):
        host = hosts[number % len(hosts)]
        while True:
            tries -= 1
            answer = await self.ask(host, "/once/a", name, X_Token_Usage=pick_usage(number))
            overloaded = f'"code":{int(Code.OVERLOADED)}'.encode() in answer.body
            if not tries or answer.status != 503 or not overloaded:
                return answer
            await asyncio.sleep(answer.retry_after)

    async def take_up_all(self, *hosts, names_stream=True):
        """Have callers take up all broken streams at hosts, or at all that serve.

        Unless `names_stream`, their requests do not say which stream they take up.
        """
        names = list(self.begun)
        return await run_some_at_once(
            self.take_up(name, number, hosts or self.list_up(), names_stream)
            for number, name in enumerate(names)
        )

    async def take_up(self, stream, number, hosts, names_stream=True):
        # Another host than the one that began it.
        host = hosts[(number + 2) % len(hosts)]
        name = f"t{number}-{stream}"
        named = {"Resumes": stream} if names_stream else {}
        answer = await self.ask(
            host, "/verdict/a", name, X_Token_Usage=pick_usage(number), Last_Event_Id=SEEN, **named
        )
        return TakeUp(self.begun[stream], name, answer)

    async def ask(self, host, path, name, **headers):
        """Send one request to a host."""
        return await ask(address_of(self.site, host), path, name, **headers)

    def list_origins(self, stream):
        """Return the services and versions of the engines that ran a stream, over all requests."""
        return {
            (engine.service, engine.build)
            for engine in self.site.upstreams.values()
            for name, headers in engine.arrivals
            if stream in (name, headers.get("resumes"), name.partition("-")[2])
            and headers.get("x-stage") != "prefill"
            and engine.runs.get(name)
        }

    def count_joined(self):
        """Return the number of streams that ran at several services or versions."""
        return sum(
            len(self.list_origins(stream) | {origin}) > 1 for stream, origin in self.begun.items()
        )


def _filter_datagrams(socket, reached):
    """Let a host send datagrams to some IPs alone, and get none of others."""
    send, receive = socket.send, socket.datagram_received

    def send_if_reached(ip, kind, data):
        if ip in reached:
            send(ip, kind, data)

    def receive_if_reached(data, addr):
        if addr[0] in reached:
            receive(data, addr)

    socket.send, socket.datagram_received = send_if_reached, receive_if_reached


def name_start(engine):
    """Return the name by which hosts list an engine, which differs between its starts."""
    return f"{engine.instance}@{engine.born}" if engine.born else engine.instance


def pick_usage(number):
    """Return the tokens of a request: each third prompt is prefilled by another engine."""
    return LONG if number % 3 == 0 else SHORT


async def run_some_at_once(coroutines):
    """Run coroutines, a few at once; return their results in order."""
    slots = asyncio.Semaphore(AT_ONCE)

    async def run(coroutine):
        async with slots:
            return await coroutine

    return await asyncio.gather(*(run(item) for item in coroutines))


async def build_play(*builds, services=(MODEL,), store_limits=None):
    """Start a site of five hosts with engines of these versions in each service."""
    site = await build_site(gateways=0, engines=(), plain=0)
    site.store_limits = store_limits or {}
    site.services = [make_model_service(name, SLOTS) for name in (MODEL, OTHER)]
    declare_backends(site, *services)
    play = Play(site)
    for service in services:
        await play.arrive(*builds, service=service)
    await play.start_all()
    await wait_until(lambda: all_know_each_other(site), "all hosts to be known")
    return play


def declare_backends(site, *services):
    """Write a configuration whose routes lead to these services, to each one alike."""
    share = 100 // len(services)
    changes = {"backends": [{"service": item, "weight": share} for item in services]}
    site.routes = [
        make_route(name, "streaming", services[0], resumable=True, timeoutMs=8000,
                   maxAttempts=attempts, **changes)
        for name, attempts in (("verdict", 3), ("once", 1))
    ]  # fmt: skip
    return site.declare()


async def settle(play):
    """Wait until the store says where streams begin of which it has no note."""
    objects = play.site.store.objects
    await wait_until(lambda: (STREAM_KIND, DEFAULTS_NAME) in objects, "the default origins")
    # Each host reads them within two seconds of its start.
    await asyncio.sleep(SETTLE_SECONDS)


def all_know_each_other(site):
    return all(
        len(item.gateway.live_hosts()) == len(site.gateways) for item in site.gateways.values()
    )


def check_take_ups(play, take_ups, going_on, share):
    """Check that no stream was joined, and that those whose origin still serves went on."""
    counts = describe(take_ups)
    assert play.count_joined() == 0, (play.count_joined(), counts)
    gone = [item for item in take_ups if item.origin not in going_on]
    assert all(item.is_refused() for item in gone), counts
    kept = [item for item in take_ups if item.origin in going_on]
    assert sum(item.goes_on() for item in kept) >= share * len(kept), counts


def describe(take_ups):
    """Return how many streams of each origin got which answer."""
    return Counter(
        (item.origin, item.answer.status, item.answer.whole, item.answer.body[:40])
        if item.answer.status != 200
        else (item.origin, 200, item.goes_on())
        for item in take_ups
    )
