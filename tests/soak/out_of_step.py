"""Hosts in processes of their own that miss the begin of a release: cut off, or standing still."""

import asyncio
import json
import signal
from collections.abc import Collection
from dataclasses import dataclass

from swifttrestle.internal.protocol.stream_records import DEFAULTS_NAME, STREAM_KIND
from swifttrestle_standins.hosted.site import wait_until
from tests.common.http import RawCaller, write_request
from tests.hosted.lost_hosts import (
    NEW,
    OLD,
    SETTLE_SECONDS,
    TakeUp,
    pick_usage,
    run_some_at_once,
)
from tests.soak.gateway import DATAGRAMS_TO
from tests.soak.lost_hosts import LISTED_SECONDS, POLL_SECONDS, ProcessPlay, add_engines, read_state
from tests.soak.processes import KEY, ProcessSite
from tests.soak.proxy import ProxyMode

SEEN = 2


class OutOfStepPlay(ProcessPlay):
    """Cuts hosts off from the store and from other hosts, and has hosts stand still."""

    def __init__(self, site):
        super().__init__(site)
        # The proxies between the hosts and the store, by host.
        self.stores = {}
        self._out = set()

    def list_up(self):
        return [name for name in super().list_up() if name not in self._out]

    def put_out(self, *names):
        """Do not wait for some hosts any more, nor begin streams through them."""
        self._out.update(names)

    # Cuts.

    def cut_from_store(self, *names, mode=ProxyMode.SILENT):
        for name in names:
            self.stores[name].set_mode(mode)

    def cut_from_peers(self, *names, hear=False, are_heard=False):
        """Cut hosts off from all others but each other, or one way alone.

        Datagrams are lost where they are sent: those that have arrived are read all the same.
        """
        others = set(self.site.hosts) - set(names) - self._down
        for name in names:
            if not are_heard:
                self._lose_datagrams(name, others)
        for name in others:
            if not hear:
                self._lose_datagrams(name, names)

    def _lose_datagrams(self, sender, receivers):
        lost = [DATAGRAMS_TO + self.site.hosts[name].settings["ip"] for name in receivers]
        self.site.hosts[sender].unreachable_file.write_text(json.dumps(lost))

    def heal_peers(self):
        """End the cuts between hosts."""
        for host in self.site.hosts.values():
            host.unreachable_file.unlink(missing_ok=True)

    async def heal(self):
        """End all cuts; return once all hosts know each other and list the engines."""
        self.heal_peers()
        for proxy in self.stores.values():
            proxy.set_mode(ProxyMode.PASS)
        self._out.clear()
        serving = set(self.list_up())
        for name in serving:
            await self.wait_live(name, lambda live: live == serving)
        await self.wait_listed()

    async def wait_alone(self, *names):
        """Wait until hosts count all others as lost."""
        for name in names:
            await self.wait_live(name, lambda live: live <= set(names))

    async def wait_live(self, name, check):
        async with asyncio.timeout(LISTED_SECONDS):
            while not check(await read_live(self.site.hosts[name])):
                await asyncio.sleep(POLL_SECONDS)

    # Standing still.

    def stand(self, *names):
        for name in names:
            self.site.hosts[name].send(signal.SIGSTOP)

    def wake(self, *names):
        for name in names:
            self.site.hosts[name].send(signal.SIGCONT)

    # Take-ups.

    async def open_callers(self, count, *hosts):
        """Open callers' connections to hosts in turn; return each one's host and connection."""
        addresses = [self.site.hosts[hosts[number % len(hosts)]].callers for number in range(count)]
        return [await RawCaller.connect(address) for address in addresses]

    def send_take_ups(self, streams, callers, names_stream=True):
        """Send the take-ups of `streams` all at once, each on a connection; return these by name.

        Hosts that stand still read them when they wake.
        """
        sent = {}
        for number, (stream, caller) in enumerate(zip(streams, callers, strict=True)):
            named = {"Resumes": stream} if names_stream else {}
            name = f"t{number}-{stream}"
            caller.send(
                write_request("/verdict/a", name, X_Key=KEY, X_Token_Usage=pick_usage(number),
                              Last_Event_Id=SEEN, **named)
            )  # fmt: skip
            sent[stream, name] = caller
        return sent

    async def read_take_ups(self, callers):
        """Return what became of the take-ups that callers sent."""
        answers = await asyncio.gather(*(caller.read_answer() for caller in callers.values()))
        for caller in callers.values():
            caller.close()
        return [
            TakeUp(self.begun[stream], name, answer)
            for (stream, name), answer in zip(callers, answers, strict=True)
        ]

    async def take_up_some(self, streams, *hosts, names_stream=True):
        """Have callers take up some streams at hosts."""
        return await run_some_at_once(
            self.take_up(stream, number, hosts, names_stream)
            for number, stream in enumerate(streams)
        )

    def list_joined(self, streams):
        """Return those of some streams that ran at several versions."""
        return [stream for stream in streams if len(self.list_origins(stream)) > 1]


async def read_live(host):
    """Return the names of the hosts that a host counts as live."""
    state = await read_state(host)
    return set() if state is None else set(state["live"])


async def build_out_of_step_play(folder, hosts=5):
    """Start hosts, engines of one version and a proxy between each host and the store.

    Returns once the hosts know where streams begin that the store has no note of.
    """
    site = ProcessSite(folder)
    play = OutOfStepPlay(site)

    async def add_upstreams():
        # Hosts that can't confirm keys would refuse all requests.
        site.workspaces = None
        play.stores = await site.add_store_proxies([f"g{number}" for number in range(hosts)])
        await add_engines(play, (OLD,))

    await site.build(hosts, add_upstreams=add_upstreams)
    await play.wait_started()
    await wait_until(lambda: (STREAM_KIND, DEFAULTS_NAME) in site.store.objects, "the defaults")
    # Each host reads them within two seconds of its start.
    await asyncio.sleep(SETTLE_SECONDS)
    return play


@dataclass(frozen=True)
class Step:
    """Some take-ups: when they were sent, the number of joined streams, and what became of them."""

    when: str
    joined: int
    take_ups: Collection[TakeUp]


@dataclass(frozen=True)
class Case:
    """How hosts miss a release, and whose callers take streams up there.

    `out` of the `hosts` are out of step. They are cut from `peers` and the `store`, and stand still
    for `stands` seconds; with `stands_first`, they are cut off only while they stand. Others may
    `hear` them all the same, or be heard by them. With `alone`, others count as lost there before
    the release begins. With `peers_first`, the cut from peers ends before the take-ups.
    """

    name: str
    hosts: int = 5
    out: int = 1
    peers: bool = True
    store: bool = True
    hear: bool = False
    are_heard: bool = False
    alone: bool = False
    peers_first: bool = False
    stands: float = 0.0
    stands_first: bool = False
    names_stream: bool = True


# Seconds between the begin of a cut and the release, and for which datagrams of others wait at a
# host that stands still before it is cut off.
SHORT_CUT_SECONDS, PILE_SECONDS = 0.3, 0.7
# Streams, and the parts of them that are taken up one after another.
STREAMS, PARTS = 36, 3


async def play_case(case, folder):
    """Play a case; return its steps."""
    play = await build_out_of_step_play(folder, case.hosts)
    try:
        return await Round(case, play).run()
    finally:
        await play.site.close()


class Round:
    """One play of a case."""

    def __init__(self, case, play):
        self._case = case
        self._play = play
        self._out = [f"g{number}" for number in range(case.out)]
        self._callers = []
        self._steps = []

    async def run(self):
        case, play = self._case, self._play
        play.put_out(*self._out)
        # Connections from before a standstill: what is sent on them is read at once after it.
        self._callers = await play.open_callers(STREAMS // PARTS, *self._out)
        stood_at = asyncio.get_running_loop().time()
        if case.stands_first:
            play.stand(*self._out)
            await asyncio.sleep(PILE_SECONDS)
        await self._cut()
        if case.stands and not case.stands_first:
            stood_at = asyncio.get_running_loop().time()
            play.stand(*self._out)
        await play.arrive(NEW)
        await play.begin(STREAMS)
        if case.stands:
            await self._take_up_at_waking(stood_at + case.stands)
        if case.peers_first:
            play.heal_peers()
        if case.peers or case.store:
            await self._take_up("inside", self._list_streams(1))
        await play.heal()
        await self._take_up("after", self._list_streams(2))
        return self._steps

    async def _cut(self):
        case, play = self._case, self._play
        if case.store:
            play.cut_from_store(*self._out)
        if case.peers:
            play.cut_from_peers(*self._out, hear=case.hear, are_heard=case.are_heard)
        if case.alone:
            await play.wait_alone(*self._out)
        elif not case.stands:
            await asyncio.sleep(SHORT_CUT_SECONDS)

    async def _take_up_at_waking(self, at):
        streams = self._list_streams(0)
        names_stream = self._case.names_stream
        sent = self._play.send_take_ups(streams, self._callers, names_stream=names_stream)
        await asyncio.sleep(at - asyncio.get_running_loop().time())
        self._play.wake(*self._out)
        self._note("at waking", streams, await self._play.read_take_ups(sent))

    async def _take_up(self, when, streams):
        names_stream = self._case.names_stream
        take_ups = await self._play.take_up_some(streams, *self._out, names_stream=names_stream)
        self._note(when, streams, take_ups)

    def _note(self, when, streams, take_ups):
        self._steps.append(Step(when, len(self._play.list_joined(streams)), take_ups))

    def _list_streams(self, number):
        """Return a part of the streams."""
        return list(self._play.begun)[number::PARTS]
