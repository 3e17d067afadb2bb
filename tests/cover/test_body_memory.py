"""The memory of requests' bodies: who gets it, in which order, and that all of it comes back."""

import random

import pytest

from swifttrestle.internal.state.body_memory import SMALL_BODY_BYTES, BodyMemory

LIMIT_BYTES = 10_000_000
ALL_BYTES = 4_000_000
LARGE_BYTES = 3_000_000
LARGE = 1_000_000
SMALL = 100_000


@pytest.mark.parametrize(
    ("sizes", "granted"),
    [
        ([LARGE] * 4, [True, True, True, False]),
        # Small bodies use what large ones leave, and all of it without large ones.
        ([LARGE] * 3 + [SMALL] * 11, [True] * 13 + [False]),
        ([SMALL] * 41, [True] * 40 + [False]),
        # A large one that would fit waits behind one that does not.
        ([LARGE, LARGE, 2 * LARGE, LARGE], [True, True, False, False]),
        # A body that never fits is read alone.
        ([20 * LARGE, LARGE, SMALL], [True, False, False]),
    ],
)
def test_bodies_get_memory_in_their_order(sizes, granted):
    memory = BodyMemory(LIMIT_BYTES)
    items = [memory.reserve(size, True, 0.0) for size in sizes]
    assert [item.granted for item in items] == granted
    for item in items:
        item.release(1.0)
    assert (memory.granted_bytes, memory.waiting) == (0, 0)


def test_large_bodies_get_their_turn_in_the_order_of_arrival():
    memory, turns = BodyMemory(LIMIT_BYTES), []
    items = [
        memory.reserve(LARGE, True, 0.0, lambda number=number: turns.append(number))
        for number in range(8)
    ]
    for item in items:
        item.release(1.0)
    assert turns == [3, 4, 5, 6, 7]


@pytest.mark.parametrize(
    ("read", "readable"),
    [(SMALL, True), (SMALL_BODY_BYTES, True), (SMALL_BODY_BYTES + 1, False)],
)
def test_as_much_as_a_small_body_is_read_of_one_of_unknown_size(read, readable):
    memory = BodyMemory(LIMIT_BYTES)
    holders = [memory.reserve(LARGE, True, 0.0) for _ in range(3)]
    item = memory.reserve(LARGE, False, 0.0)
    item.note_read(read)
    assert (item.granted, item.readable, memory.waiting_bytes) == (False, readable, read)
    item.note_end(read, 0.0)
    assert item.granted is (read <= SMALL_BODY_BYTES)
    for holder in holders:
        holder.release(1.0)
    assert item.granted
    assert memory.granted_bytes == read


@pytest.mark.parametrize(
    ("held", "ahead", "wait"),
    # Three bodies are held at once, so that the last of three that wait waits for one round.
    [((), 3, None), ((2.0,), 3, 2.0), ((2.0,), 6, 4.0), ((2.0, 4.5), 3, 2.5)],
)
def test_the_wait_is_predicted_from_how_long_bodies_are_held(held, ahead, wait):
    memory = BodyMemory(LIMIT_BYTES)
    for seconds in held:
        memory.reserve(LARGE, True, 10.0).release(10.0 + seconds)
    # Small ones tell nothing about large ones.
    memory.reserve(SMALL, True, 10.0).release(10.1)
    items = [memory.reserve(LARGE, True, 20.0) for _ in range(3 + ahead)]
    assert items[-1].predict_wait(20.0) == (None if wait is None else pytest.approx(wait))


def test_a_small_body_waits_for_small_ones_alone():
    memory = BodyMemory(LIMIT_BYTES)
    memory.reserve(LARGE, True, 10.0).release(12.0)
    for size in [LARGE] * 3 + [SMALL] * 10 + [LARGE] * 5:
        item = memory.reserve(size, True, 20.0)
    # From now on places are known, but not of those that come in the same moment.
    item.predict_wait(20.0)
    small, large = (memory.reserve(size, True, 20.0) for size in (SMALL, LARGE))
    rounds = 3 * LARGE
    assert small.predict_wait(20.0) == pytest.approx(2.0 * SMALL / rounds)
    assert large.predict_wait(20.0) == pytest.approx(2.0 * (6 * LARGE + SMALL) / rounds)


@pytest.mark.parametrize("seed", range(40))
def test_no_order_of_events_takes_too_much_or_loses_memory(seed):
    rng = random.Random(seed)
    memory, open_items = BodyMemory(LIMIT_BYTES), []
    for step in range(400):
        now = step / 10
        action = rng.random()
        if action < 0.4:
            size = rng.choice((1, SMALL, SMALL_BODY_BYTES, LARGE, 2 * LARGE))
            open_items.append(memory.reserve(size, rng.random() < 0.5, now))
        elif action < 0.6 and open_items:
            item = rng.choice(open_items)
            if item.readable:
                item.note_read(min(item.needed_bytes, item.read_bytes + rng.randrange(70_000)))
        elif action < 0.7 and open_items:
            item = rng.choice(open_items)
            item.note_end(min(item.needed_bytes, max(item.read_bytes, 1)), now)
        elif open_items:
            item = rng.choice(open_items)
            item.release(now)
            item.release(now)
            open_items.remove(item)
        granted = [item for item in open_items if item.granted]
        waiting = [item for item in open_items if not item.granted]
        assert memory.granted_bytes == sum(item.needed_bytes for item in granted)
        large_sizes = [item.needed_bytes for item in granted if item.large]
        assert sum(large_sizes) <= LARGE_BYTES
        # A single large body does not wait for small ones, of which there may always be more.
        alone = large_sizes[0] if len(large_sizes) == 1 else 0
        assert memory.granted_bytes <= ALL_BYTES + alone
        assert memory.waiting_bytes == sum(item.read_bytes for item in waiting)
        assert memory.waiting == len(waiting)
        # Somebody always goes on.
        assert granted or not waiting
    for item in open_items:
        item.release(100.0)
    assert (memory.granted_bytes, memory.waiting_bytes, memory.waiting) == (0, 0, 0)
