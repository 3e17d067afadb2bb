"""The model of engines' prompt caches, and how bookings use it."""

import asyncio
import random

import pytest

from swifttrestle.internal.forward.booking import LocalBooker
from swifttrestle.internal.forward.gateway_state import GatewayState, RetryBudgets
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.policy.placement import pick_prefill_engine
from swifttrestle.internal.protocol.bookings import (
    BookingQuery,
    Grant,
    pack_message,
    unpack_message,
)
from swifttrestle.internal.protocol.gossip import PeerReport, pack_report, unpack_report
from swifttrestle.internal.state.bookings import BookingRequest, Outcome, Stage
from swifttrestle.internal.state.declared import EngineTraits, Role, UpstreamRecord
from swifttrestle.internal.state.demand import DemandMeter
from swifttrestle.internal.state.fleet import Fleet, Instance, OpenWork
from swifttrestle.internal.state.prompt_cache import PromptCache, PromptPart, SentPrompt

SYSTEM = PromptPart("m/system", 2000)
DOCUMENT = PromptPart("m/document", 4000)
OWN = PromptPart("m/own", 3000)
PROMPT = (SYSTEM, DOCUMENT, OWN)


@pytest.mark.parametrize(
    ("sent", "requested", "cached_tokens"),
    [
        ((), PROMPT, 0),
        (PROMPT, PROMPT, 9000),
        ((SYSTEM, DOCUMENT), PROMPT, 6000),
        ((SYSTEM,), PROMPT, 2000),
        # A part cannot be used without those before it.
        ((DOCUMENT, OWN), PROMPT, 0),
        ((SYSTEM, OWN), PROMPT, 2000),
        (PROMPT, (SYSTEM, PromptPart("m/other", 10)), 2000),
        (PROMPT, (PromptPart("n/system", 2000),), 0),
    ],
)
def test_a_part_counts_as_cached_only_with_all_parts_before_it(sent, requested, cached_tokens):
    cache = PromptCache()
    cache.note(sent, 100_000)
    assert cache.count(requested) == cached_tokens
    assert sum(item.tokens for item in cache.list_uncached(requested)) == (
        sum(item.tokens for item in requested) - cached_tokens
    )


def test_least_recently_used_parts_are_evicted_first():
    cache = PromptCache()
    cache.note([SYSTEM, PromptPart("m/a", 4000)], 10_000)
    cache.note([SYSTEM, PromptPart("m/b", 4000)], 10_000)
    assert cache.count([SYSTEM, PromptPart("m/a", 4000)]) == 2000
    assert cache.count([SYSTEM, PromptPart("m/b", 4000)]) == 6000


def test_a_part_that_is_sent_several_times_takes_memory_once():
    cache = PromptCache()
    for _ in range(50):
        cache.note(PROMPT, 12_000)
    assert cache.count(PROMPT) == 9000


def test_parts_are_dropped_if_their_prefill_failed():
    cache = PromptCache()
    cache.note([SYSTEM], 100_000)
    uncached = cache.list_uncached(PROMPT)
    cache.note(PROMPT, 100_000)
    cache.drop(uncached)
    assert cache.count(PROMPT) == 2000


def make_prefill_engine(name, open_tokens=0, cached=()):
    record = UpstreamRecord(name, "s", ("127.0.0.1", 1), "a", 40, False, Role.PREFILL)
    engine = Instance(record, own=OpenWork(open_tokens, 1 if open_tokens else 0))
    engine.cache.note(cached, 100_000)
    return engine


@pytest.mark.parametrize(
    ("open_tokens", "expected"),
    # 4,000 cached tokens save 40 ms at 100 tokens/ms.
    [(0, "keeper"), (1000, "keeper"), (30_000, "idle")],
)
def test_a_prompt_goes_to_the_engine_with_the_earliest_prefill(open_tokens, expected):
    readers = [
        make_prefill_engine("keeper", open_tokens, (SYSTEM, DOCUMENT)),
        make_prefill_engine("idle", 0, (SYSTEM,)),
    ]
    chosen = pick_prefill_engine(readers, 9000, "document", (), 0.0, 1.0, PROMPT)
    assert chosen.name == expected


def test_a_prompt_may_wait_longer_at_an_engine_that_caches_its_parts():
    busy = make_prefill_engine("keeper", 5000, (SYSTEM, DOCUMENT))
    without_parts = make_prefill_engine("stranger", 5000)
    # 5,000 tokens take 50 ms: more than the allowed wait, but less than with the 60 ms saved.
    assert pick_prefill_engine([busy], 9000, "document", (), 0.0, 0.01, PROMPT) is busy
    assert pick_prefill_engine([without_parts], 9000, "document", (), 0.0, 0.01, PROMPT) is None


def make_booker():
    fleet = Fleet()
    for name, role in (("p", Role.PREFILL), ("d", Role.DECODE)):
        fleet.put(UpstreamRecord(name, "s", ("127.0.0.1", 1), "a", 40, False, role))
    fleet.traits["s"] = EngineTraits(40, 200_000, 100_000.0, 1e11, 5.0, 0.2)
    state = GatewayState("a", fleet, RetryBudgets(0.2, 10, 10), Metrics(), random.Random(1))
    return state, LocalBooker(state)


REQUEST = BookingRequest("s", "a", 9000, "document", 0, True, 20.0, 0.0, 1.0, parts=PROMPT)


def test_a_booking_counts_and_releases_only_the_tokens_to_prefill():
    async def run():
        state, booker = make_booker()
        first = await booker.book(REQUEST)
        assert (first.tokens, first.reader.own.tokens) == (9000, 9000)
        second = await booker.book(REQUEST)
        assert second.tokens == 0
        assert second.reader.own.tokens == 9000
        for booking in (first, second):
            booker.end(booking, Stage.READ, Outcome.DONE, 0.1)
            booker.end(booking, Stage.DECODE, Outcome.DONE, 0.1)
        assert all(item.own == OpenWork() for item in state.fleet.instances.values())
        assert (await booker.book(REQUEST)).tokens == 0

    asyncio.run(run())


@pytest.mark.parametrize("outcome", [Outcome.BROKEN, Outcome.REFUSED, Outcome.GONE])
def test_a_prompt_whose_prefill_failed_does_not_count_as_cached(outcome):
    async def run():
        _, booker = make_booker()
        booking = await booker.book(REQUEST)
        booker.end(booking, Stage.READ, outcome, 0.1)
        booker.end(booking, Stage.DECODE, Outcome.CANCELLED, 0.1)
        assert (await booker.book(REQUEST)).tokens == 9000

    asyncio.run(run())


def test_prompts_sent_to_engines_are_reported_to_peers_once():
    async def run():
        state, booker = make_booker()
        booking = await booker.book(REQUEST)
        assert [item.engine for item in state.sent_prompts] == ["p"]
        booker.end(booking, Stage.DECODE, Outcome.DONE, 0.1)
        # The decode engine has fetched it by then.
        assert [item.engine for item in state.sent_prompts] == ["p", "d"]
        assert all(item.parts == PROMPT for item in state.sent_prompts)

    asyncio.run(run())


def test_prompts_are_unchanged_after_packing_and_unpacking():
    sent = (SentPrompt("p", PROMPT), SentPrompt("d", (), read=True))
    report = PeerReport(
        "h", "10.0.0.1", "a", 10.0, 5, 7, False, False, False, 0.0, {}, {}, {}, (), sent
    )
    assert unpack_report(pack_report(report)) == report
    for message in (BookingQuery(1, REQUEST), Grant(1, "p", "d", 9000, 0.5, 3000)):
        assert unpack_message(pack_message("h", message)) == ("h", message)


def test_a_full_report_of_prompts_fits_one_packet():
    parts = tuple(PromptPart(f"m/{n:012x}", 3000) for n in range(3))
    sent = tuple(SentPrompt(f"i-{n:010x}", parts) for n in range(12))
    known = tuple((f"front-kirkos-hall-{n}", "10.200.100.100") for n in range(8))
    report = PeerReport(
        "front-kirkos-hall-1", "10.1.0.1", "kirkos-hall", 10.0, 1 << 62, 7, False, False, False,
        9.5, {f"i-{n:010x}": (100_000, 20) for n in range(6)}, {}, {}, known, sent,
    )  # fmt: skip
    assert len(pack_report(report)) < 1400
    assert unpack_report(pack_report(report)).prompts == sent


def test_the_share_of_uncached_tokens_is_learned_without_changing_offered_work():
    meter = DemandMeter()
    for _ in range(500):
        meter.note_read("s", 9000, 4500)
    assert meter.read_share("s") == pytest.approx(0.5, abs=0.01)
    meter.note_arrival("s", "route", 8000, 10.0)
    assert meter.own(10.0)["s"].read_tokens == pytest.approx(8000 / 4.0)
    meter.note_read("s", 0, 0)
    assert meter.read_share("other") == 1.0
