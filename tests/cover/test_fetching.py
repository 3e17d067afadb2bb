"""Fetching the KV cache of a prompt's prefix from another engine."""

import asyncio
import random
from dataclasses import replace

import pytest

from swifttrestle.internal.forward.booking import LocalBooker
from swifttrestle.internal.forward.gateway_state import GatewayState, RetryBudgets
from swifttrestle.internal.forward.prefill import find_source_address
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.policy.fetching import list_sources, plan_fetch
from swifttrestle.internal.state.bookings import BookingRequest, Outcome, Stage
from swifttrestle.internal.state.declared import EngineTraits, Role, UpstreamRecord
from swifttrestle.internal.state.fleet import Fleet, Instance, OpenWork
from swifttrestle.internal.state.prompt_cache import PromptCache, PromptPart

SHARED = PromptPart("m/shared", 8000)
OWN = PromptPart("m/own", 1000)
PROMPT = (SHARED, OWN)
# 100 kB a token over 100 GB/s: 1,000 tokens take 1 ms to copy and 10 ms to prefill.
TRAITS = EngineTraits(40, 200_000, 100_000.0, 1e11, 5.0, 0.2)


def make_engine(name, zone="a", read=(), booked=()):
    record = UpstreamRecord(name, "s", (name, 1), zone, 40, False, Role.PREFILL)
    engine = Instance(record)
    engine.cache.note(read, 200_000, read=True)
    engine.cache.note(booked, 200_000)
    return engine


@pytest.mark.parametrize(
    ("cached_tokens", "zone", "traits", "tokens", "seconds"),
    [
        (0, "a", TRAITS, 8000, 0.008),
        (0, "b", TRAITS, 8000, 0.016),
        (7000, "a", TRAITS, 1000, 0.001),
        # The prefill of the rest takes no longer than setting up a copy.
        (7500, "a", TRAITS, None, None),
        (8000, "a", TRAITS, None, None),
        (9000, "a", TRAITS, None, None),
        # A link on which a copy takes longer than the prefill.
        (0, "a", replace(TRAITS, link_bytes_per_second=1e9), None, None),
        (0, "a", replace(TRAITS, link_bytes_per_second=0.0), None, None),
        (0, "a", None, None, None),
    ],
)
def test_a_part_is_fetched_if_that_saves_time(cached_tokens, zone, traits, tokens, seconds):
    sources = list_sources([make_engine("d", zone, read=(SHARED,))], PROMPT, ())
    fetch = plan_fetch(make_engine("r"), cached_tokens, sources, traits)
    assert (fetch.tokens if fetch else None) == tokens
    assert (fetch.seconds if fetch else None) == (pytest.approx(seconds) if seconds else None)


@pytest.mark.parametrize(
    ("engine", "found"),
    [
        (make_engine("d", read=(SHARED,)), True),
        (make_engine("d", booked=(SHARED,)), False),
        (make_engine("d", read=(OWN,)), False),
        (make_engine("out", read=(SHARED,)), False),
    ],
)
def test_a_source_is_an_engine_that_has_prefilled_the_prefix(engine, found):
    assert bool(list_sources([engine], PROMPT, {"out"})) is found


def test_a_draining_engine_is_no_source():
    engine = make_engine("d", read=(SHARED,))
    engine.record = replace(engine.record, leaving=True)
    assert list_sources([engine], PROMPT, ()) == []


def test_an_engine_fetches_nothing_from_itself():
    engine = make_engine("d", read=(SHARED,))
    assert plan_fetch(engine, 0, list_sources([engine], PROMPT, ()), TRAITS) is None


@pytest.mark.parametrize(
    ("zones", "chosen"), [({"far": "b", "near": "a"}, "near"), ({"x": "a", "y": "a"}, "x")]
)
def test_the_source_that_saves_most_is_chosen(zones, chosen):
    engines = [make_engine(name, zone, read=(SHARED,)) for name, zone in zones.items()]
    fetch = plan_fetch(make_engine("r"), 0, list_sources(engines, PROMPT, ()), TRAITS)
    assert fetch.source.name == chosen


def test_a_cached_part_stays_cached_when_it_is_booked_again():
    cache = PromptCache()
    cache.note(PROMPT, 200_000, read=True)
    cache.note(PROMPT, 200_000)
    assert cache.count_prefilled(PROMPT) == 9000
    cache.drop((OWN,))
    assert cache.count_prefilled(PROMPT) == 8000


@pytest.mark.parametrize("tokens", [0, 10**12])
def test_parts_of_extreme_sizes_do_not_corrupt_the_cache_model(tokens):
    cache = PromptCache()
    cache.note((PromptPart("m/odd", tokens), *PROMPT), 200_000, read=True)
    assert 0 <= cache.count_prefilled(PROMPT) <= 9000


def run_booker(act, names="pq"):
    """Run `act` with the state and the booker of one host with two prefill engines."""

    async def run():
        fleet = Fleet()
        for name in names:
            fleet.put(UpstreamRecord(name, "s", (name, 1), "a", 40, False, Role.PREFILL))
        fleet.put(UpstreamRecord("d", "s", ("d", 1), "a", 40, False, Role.DECODE))
        fleet.traits["s"] = TRAITS
        state = GatewayState("a", fleet, RetryBudgets(0.2, 10, 10), Metrics(), random.Random(1))
        await act(state, LocalBooker(state))

    asyncio.run(run())


def make_request(own, **changes):
    parts = (SHARED, PromptPart(f"m/{own}", 1000))
    request = BookingRequest("s", "a", 9000, "shared", 0, True, 20.0, 0.0, 1.0, parts=parts)
    return replace(request, **changes)


def test_a_part_is_fetched_only_after_its_prefill_has_ended():
    async def act(state, booker):
        first = await booker.book(make_request("1"))
        second = await booker.book(make_request("2", excluded=frozenset({first.reader.name})))
        assert (second.source, second.tokens) == (None, 9000)
        booker.end(second, Stage.READ, Outcome.BROKEN, 0.1)
        booker.end(first, Stage.READ, Outcome.DONE, 0.1)
        first.reader.own = OpenWork(50_000, 1)
        third = await booker.book(make_request("3"))
        assert third.reader is not first.reader
        assert (third.source, third.tokens) == (first.reader, 1000)
        assert third.fetch_seconds == pytest.approx(0.008)
        assert find_source_address(third) == (first.reader.name, 1)
        # The source may be removed before the prompt is sent.
        first.reader.gone = True
        assert find_source_address(third) is None

    run_booker(act)


def test_the_decode_engine_is_a_source_after_its_stage_has_ended():
    async def act(state, booker):
        booking = await booker.book(make_request("1"))
        booker.end(booking, Stage.READ, Outcome.BROKEN, 0.1)
        booker.end(booking, Stage.DECODE, Outcome.DONE, 0.1)
        # Has too many open streams to prefill as well.
        booking.decoder.own = OpenWork(0, 30)
        assert (await booker.book(make_request("2"))).source is booking.decoder

    run_booker(act)


def test_the_duration_of_a_copy_does_not_affect_the_learned_prefill_rate():
    async def act(state, booker):
        first = await booker.book(make_request("1"))
        booker.end(first, Stage.READ, Outcome.DONE, 0.09)
        first.reader.own = OpenWork(50_000, 1)
        first.decoder.own = OpenWork(0, 30)
        other = await booker.book(make_request("2"))
        assert (other.source, other.direct) == (first.reader, False)
        before = other.reader.read_rate
        booker.end(other, Stage.READ, Outcome.DONE, other.fetch_seconds + 1000 / before)
        assert other.reader.read_rate == pytest.approx(before)

    run_booker(act)
