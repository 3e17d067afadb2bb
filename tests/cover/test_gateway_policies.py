"""The gateway's policies: role splits, placement, queueing, retry budgets, the duty lease."""

import asyncio
import random
from dataclasses import replace

import pytest

from swifttrestle.errors import (
    ConflictError,
    LeaseLostError,
    NotFoundError,
    PlatformUnavailableError,
)
from swifttrestle.internal.coordination.duties.duty_lease import DutyLeaseManager
from swifttrestle.internal.forward.gateway_state import RetryBudgets
from swifttrestle.internal.policy.placement import (
    pick_decode_engine,
    pick_plain_instance,
    pick_prefill_engine,
)
from swifttrestle.internal.policy.queueing import AdmissionQueue
from swifttrestle.internal.policy.retry_window import WindowedRetryBudget
from swifttrestle.internal.policy.role_split import (
    count_default_decoders,
    find_best_decode_count,
    plan_change,
)
from swifttrestle.internal.state.declared import (
    Configuration,
    RetrySafety,
    Role,
    Route,
    Target,
    UpstreamRecord,
)
from swifttrestle.internal.state.demand import Demand, DemandMeter
from swifttrestle.internal.state.fleet import Fleet, Instance, OpenWork
from swifttrestle.internal.state.routes import RouteTable
from swifttrestle.internal.state.store_epochs import StoreEpochs, StoreRevision
from swifttrestle.platform.objects import Snapshot, StoredObject
from tests.common.fakes import make_skipped_entries


def make_instance(name, role=Role.DECODE, zone="a", slots=10, **state):
    record = UpstreamRecord(name, "s", ("127.0.0.1", 1), zone, slots, False, role)
    return Instance(record, **state)


def make_versions(role, builds):
    """Return engines of a role, one of each of these software versions."""
    engines = [make_instance(f"{role.value}{n}", role) for n in range(len(builds))]
    for engine, build in zip(engines, builds, strict=True):
        engine.record = replace(engine.record, build=build)
    return engines


def make_engines(prefill, decode):
    prefill_engines = [make_instance(f"p{n}", Role.PREFILL, "ab"[n % 2]) for n in range(prefill)]
    return prefill_engines + [
        make_instance(f"d{n}", Role.DECODE, "ab"[n % 2]) for n in range(decode)
    ]


@pytest.mark.parametrize(
    ("engines", "decoders"), [(0, 0), (1, 1), (2, 1), (3, 1), (4, 2), (6, 2), (9, 3), (29, 10)]
)
def test_most_engines_prefill_while_no_load_is_known(engines, decoders):
    assert count_default_decoders(engines) == decoders


@pytest.mark.parametrize(
    ("prefill", "decode", "read", "slots", "wanted"),
    [
        (4, 2, 100_000, 5, 2),
        (4, 2, 100_000, 17, 4),
        (3, 3, 400_000, 5, 2),
        (3, 3, 150_000, 20, 3),
        (4, 2, 2_000_000, 8, 2),
        (2, 4, 0, 2, 4),
        (5, 1, 100_000, 2, 2),
        (6, 0, 100_000, 2, 2),
        (0, 6, 300_000, 2, 2),
    ],
)
def test_the_split_follows_offered_work_if_that_is_worth_a_change(
    prefill, decode, read, slots, wanted
):
    engines = make_engines(prefill, decode)
    best = find_best_decode_count(engines, decode, Demand(read, slots))
    assert best == wanted


@pytest.mark.parametrize(
    ("read_slots", "open_requests", "wanted"),
    # Twelve engines with 100,000 tokens a second and ten slots each; the offered prompts exceed the
    # prefill capacity of all of them.
    [(0, 0, 5), (90, 0, 3), (90, 33, 4)],
)
def test_prompts_beyond_the_prefill_capacity_take_no_engine_for_decode(
    read_slots, open_requests, wanted
):
    engines = make_engines(4, 8)
    engines[-1].own = OpenWork(0, open_requests)
    change = plan_change(engines, {}, Demand(1_500_000, 100, read_slots))
    assert f"{wanted} wanted" in change.reason


def test_engines_with_a_pending_order_count_as_done_and_get_no_second_one():
    engines = make_engines(2, 4)
    first = plan_change(engines, {}, Demand())
    assert first.role is Role.PREFILL
    second = plan_change(engines, {first.engine.name: Role.PREFILL}, Demand())
    assert second.engine is not first.engine
    pending = {change.engine.name: Role.PREFILL for change in (first, second)}
    assert plan_change(engines, pending, Demand()) is None


@pytest.mark.parametrize(
    ("broken", "demand", "role"),
    [
        ((), Demand(100_000, 2), None),
        (("d0",), Demand(100_000, 2), None),
        (("d0", "d1"), Demand(100_000, 2), Role.DECODE),
        (("d0",), Demand(100_000, 9), Role.DECODE),
        (("p0", "p1"), Demand(100_000, 2), None),
    ],
)
def test_broken_engines_add_no_capacity_but_are_not_replaced_at_once(broken, demand, role):
    engines = make_engines(4, 2)
    change = plan_change(engines, {}, demand, broken)
    assert (change.role if change else None) is role
    assert change is None or change.engine.name not in broken


@pytest.mark.parametrize(
    ("prefill", "decode", "demand", "changed"),
    [
        # The version that has no decode engine gets one.
        (["v1", "v2", "v1", "v1"], ["v1"], Demand(1_000, 17), "v2"),
        (["v1", "v1", "v1", "v2"], ["v2"], Demand(1_000, 17), "v1"),
        # The only decode engine of a version keeps its role.
        (["v1"], ["v1", "v1", "v2"], Demand(1_500_000, 2), "v1"),
        (["v1"], ["v2", "v2", "v1"], Demand(1_500_000, 2), "v2"),
    ],
)
def test_role_changes_keep_a_decode_engine_of_each_software_version(
    prefill, decode, demand, changed
):
    decoders = make_versions(Role.DECODE, decode)
    change = plan_change([*make_versions(Role.PREFILL, prefill), *decoders], {}, demand)
    assert change.engine.record.build == changed


def test_the_last_prefill_engine_keeps_its_role():
    engines = make_engines(1, 0)
    assert plan_change(engines, {}, Demand(10, 100)) is None


def test_plain_instances_are_chosen_by_load_and_zone():
    near, far = make_instance("near", zone="a"), make_instance("far", zone="b")
    rng = random.Random(1)
    assert pick_plain_instance([far, near], "a", (), 0.0, rng) is near
    near.own = OpenWork(0, 2)
    assert pick_plain_instance([far, near], "a", (), 0.0, rng) is far
    far.refused_until = 1.0
    assert pick_plain_instance([far, near], "a", (), 0.0, rng) is near
    assert pick_plain_instance([far, near], "a", {"near"}, 0.0, rng) is far
    assert pick_plain_instance([], "a", (), 0.0, rng) is None


@pytest.mark.parametrize(
    ("open_requests", "urgent", "found"),
    [(83, False, True), (85, False, False), (85, True, True), (90, True, False)],
)
def test_some_decode_slots_are_reserved_for_urgent_requests(open_requests, urgent, found):
    decoder = make_instance("d", slots=100, peers=OpenWork(0, open_requests))
    assert (pick_decode_engine([decoder], "a", (), 0.0, urgent) is decoder) is found


def test_a_prompt_goes_to_the_engine_of_its_shared_part_unless_another_is_much_faster():
    prefill_engines = [make_instance(f"p{n}", Role.PREFILL) for n in range(4)]
    chosen = pick_prefill_engine(prefill_engines, 9000, "part", (), 0.0, 1.0)
    assert all(
        pick_prefill_engine(prefill_engines, 9000, "part", (), 0.0, 1.0) is chosen for _ in range(5)
    )
    chosen.peers = OpenWork(20_000, 2)
    other = pick_prefill_engine(prefill_engines, 9000, "part", (), 0.0, 1.0)
    assert other is not chosen
    assert pick_prefill_engine([chosen], 9000, "part", (), 0.0, 0.1) is None


def test_a_decode_engine_prefills_long_prompts_only_while_few_slots_are_in_use():
    decoder = make_instance("d", Role.DECODE)
    assert pick_prefill_engine([decoder], 9000, "part", (), 0.0, 1.0) is decoder
    decoder.peers = OpenWork(0, 1)
    assert pick_prefill_engine([decoder], 9000, "part", (), 0.0, 1.0) is None


@pytest.mark.parametrize(
    ("open_requests", "tokens", "longest_pause", "found"),
    [(0, 9000, 0.1, True), (1, 9000, 0.1, False), (1, 9000, 0.2, True), (1, 4000, 0.1, True)],
    ids=["no streams", "pause too long", "pause allowed", "short prompt"],
)
def test_a_decode_engine_prefills_beside_streams_only_if_their_pause_is_short_enough(
    open_requests, tokens, longest_pause, found
):
    """Guards against long prompts that stop the streams of a decode engine."""
    decoder = make_instance("d", Role.DECODE, slots=100, peers=OpenWork(0, open_requests))
    chosen = pick_prefill_engine(
        [decoder], tokens, "part", (), 0.0, 1.0, longest_pause=longest_pause
    )
    assert (chosen is decoder) is found


@pytest.mark.parametrize("scheduled", [False, True])
def test_only_a_scheduler_considers_all_prefill_engines(scheduled):
    """Guards against prompts that wait at two busy engines while others of the zone are idle."""
    engines = [make_instance(f"p{n}", Role.PREFILL) for n in range(12)]
    for number, engine in enumerate(engines[:-1]):
        engine.own = OpenWork(20_000 + number, 1)
    chosen = {
        pick_prefill_engine(engines, 9000, f"part{n}", (), 0.0, 5.0, scheduled=scheduled).name
        for n in range(20)
    }
    assert (chosen == {"p11"}) is scheduled


def test_the_strictest_gap_objective_of_a_services_routes_counts():
    route = Route("r", "h", "/", RetrySafety.IDEMPOTENT, True, True, 9.0, 0.5, 0.3, 0, 1, ())
    targets = (Target("s", 1.0),)
    routes = [replace(route, gap_objective=gap, targets=targets) for gap in (0.5, 0.3, 0.0)]
    table = RouteTable(Configuration(1, tuple(routes)))
    assert table.find_gap_objectives() == {"s": 0.3}


def test_the_prefill_rate_of_an_engine_is_learned_from_long_prompts():
    engine = make_instance("p", Role.PREFILL)
    for _ in range(60):
        engine.update_read_rate(9000, 0.03)
    assert engine.read_rate == pytest.approx(300_000, rel=0.05)
    engine.update_read_rate(10, 1.0)
    assert engine.read_rate == pytest.approx(300_000, rel=0.05)


def test_repeats_stay_within_a_hosts_budget_in_every_window():
    budget = WindowedRetryBudget(0.2, 50, 10.0)
    budget.hosts = 10
    taken = []
    for step in range(4000):
        now = step / 100
        budget.note_request(now)
        if budget.take(now):
            taken.append(now)
    for start in range(30):
        inside = sum(start <= at < start + 10 for at in taken)
        assert inside <= 0.2 * 1000 + 50 / 10
    assert len(taken) > 0


def test_a_repeat_after_a_rejection_counts_against_the_budget():
    budget = WindowedRetryBudget(0.0, 4 / 0.7, 10.0)
    for _ in range(4):
        budget.note_repeat(0.0)
    assert not budget.take(1.0)
    assert budget.take(11.0)


def test_changed_retry_limits_apply_at_once_and_unchanged_ones_keep_the_counts():
    budgets = RetryBudgets(share=0.0, extra=0.0, window=10.0)
    assert not budgets.find("s").take(0.0)
    budgets.change(0.0, 10.0, 10.0)
    assert budgets.find("s").take(0.0)
    unchanged = budgets.find("s")
    budgets.change(0.0, 10.0, 10.0)
    assert budgets.find("s") is unchanged


def test_offered_work_is_a_decaying_average_summed_over_hosts():
    meter = DemandMeter()
    for step in range(2000):
        meter.note_arrival("s", "r", 100, step / 100)
    assert meter.total("s", 20.0).read_tokens == pytest.approx(10_000, rel=0.05)
    meter.note_peer("other", {"s": Demand(500.0, 3.0)})
    assert meter.total("s", 60.0) == Demand(
        pytest.approx(500, abs=5), pytest.approx(3, abs=0.1), pytest.approx(0, abs=0.1)
    )
    meter.drop_peer("other")
    assert meter.total("s", 200.0).read_tokens < 1


def test_a_peers_report_replaces_its_last_one_and_expires():
    fleet = Fleet()
    fleet.put(make_instance("i").record)
    fleet.note_peer("h", {"i": OpenWork(100, 2)}, 0.0)
    fleet.note_peer("h", {"i": OpenWork(50, 1), "unknown": OpenWork(1, 1)}, 0.1)
    assert fleet.instances["i"].peers == OpenWork(50, 1)
    fleet.expire_peers(5.0)
    assert fleet.instances["i"].peers == OpenWork(0, 0)


def make_route(prefix, host="h", priority=0):
    from swifttrestle.internal.state.declared import Target

    return Route(prefix, host, prefix, RetrySafety.IDEMPOTENT, False, False, 1, 1, 0, priority, 1,
                 (Target("s", 1.0),))  # fmt: skip


@pytest.mark.parametrize(
    ("host", "path", "found"),
    [
        ("h", "/a/x", "/a/"),
        ("h", "/a/b/x", "/a/b/"),
        ("H:80", "/a/b/", "/a/b/"),
        ("h", "/a/bc/x", "/a/"),
        ("h", "/a", "/"),
        ("other", "/a/x", None),
    ],
)
def test_the_longest_prefix_of_the_host_wins(host, path, found):
    table = RouteTable(Configuration(1, tuple(make_route(p) for p in ("/", "/a/", "/a/b/"))))
    route = table.find(host, path)
    assert (route.prefix if route else None) == found


def test_only_the_highest_priority_of_a_service_is_urgent():
    low, high = make_route("/a/", priority=1), make_route("/b/", priority=0)
    table = RouteTable(Configuration(1, (low, high)))
    assert table.is_urgent(high, "s")
    assert not table.is_urgent(low, "s")


def run_queue(act):
    asyncio.run(act(AdmissionQueue()))


def test_waiters_are_served_by_priority_then_deadline():
    async def act(queue):
        served, free_slots = [], []

        def find_for(name):
            def find():
                if not free_slots:
                    return None
                served.append(name)
                return free_slots.pop()

            return find

        waits = [
            asyncio.ensure_future(
                queue.wait(find_for(name), free_slots.append, priority, deadline, 5)
            )
            for name, priority, deadline in (("late", 1, 1), ("second", 0, 9), ("first", 0, 2))
        ]
        await asyncio.sleep(0)
        assert len(queue) == 3
        free_slots.extend([make_instance("i")] * 3)
        queue.serve()
        await asyncio.gather(*waits)
        assert served == ["first", "second", "late"]

    run_queue(act)


def test_a_waiter_that_is_cancelled_as_it_is_served_releases_its_slot():
    async def act(queue):
        free_slots, released = [], []
        find = lambda: free_slots.pop() if free_slots else None  # noqa: E731
        waiting = asyncio.ensure_future(queue.wait(find, released.append, 0, 1, 5))
        await asyncio.sleep(0)
        free_slots.append(make_instance("i"))
        queue.serve()
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        assert [item.name for item in released] == ["i"]

    run_queue(act)


def test_a_waiter_gets_none_after_its_maximum_wait():
    async def act(queue):
        assert await queue.wait(lambda: None, lambda _: None, 0, 1, 0.01) is None
        assert len(queue) == 0

    run_queue(act)


class FakeStore:
    """A store of one object, with injected write failures."""

    def __init__(self):
        self.spec, self.revision, self.lose = None, StoreRevision(0, 0), ""
        self.epochs = StoreEpochs()

    async def list(self, kind):
        return Snapshot((), self.revision)

    async def get(self, kind, name):
        if self.spec is None:
            raise NotFoundError(name)
        return StoredObject(kind, name, self.revision, self.spec)

    async def create(self, kind, name, spec):
        if self.spec is not None:
            raise ConflictError(name)
        return self._write(kind, name, spec)

    async def replace(self, kind, name, spec, revision):
        if revision != self.revision:
            raise ConflictError(name)
        return self._write(kind, name, spec)

    def _write(self, kind, name, spec):
        if self.lose == "not done":
            self.lose = ""
            raise PlatformUnavailableError("lost")
        self.spec, self.revision = spec, StoreRevision(0, self.revision.number + 1)
        if self.lose == "done":
            self.lose = ""
            raise PlatformUnavailableError("lost")
        return StoredObject(kind, name, self.revision, spec)


DURATION = 0.05


def make_lease_manager(store, host):
    manager = DutyLeaseManager(store, "roles", host, 1, DURATION, make_skipped_entries())
    manager._takeover_seconds = DURATION
    return manager


def test_one_host_holds_the_lease_and_tokens_rise_with_each_holder():
    async def act():
        store = FakeStore()
        first, second = make_lease_manager(store, "a"), make_lease_manager(store, "b")
        assert await first.try_acquire()
        assert not await second.try_acquire()
        order, _ = await first.record("e1", "prefill")
        assert (order.number, first.lease.token) == (1, 1)
        assert not await second.try_acquire()
        while not await second.try_acquire():
            await asyncio.sleep(0.01)
        assert second.lease.token == 2
        assert (await second.record("e1", "decode"))[0].number == 2
        with pytest.raises(LeaseLostError):
            await first.record("e1", "prefill")
        assert first.lease is None

    asyncio.run(act())


def test_a_holder_that_writes_keeps_its_lease():
    async def act():
        store = FakeStore()
        first, second = make_lease_manager(store, "a"), make_lease_manager(store, "b")
        assert await first.try_acquire()
        for _ in range(4):
            assert not await second.try_acquire()
            await asyncio.sleep(DURATION / 2)
            await first.record("e", "prefill")
            second._next_read_at = 0.0
        assert not await second.try_acquire()

    asyncio.run(act())


@pytest.mark.parametrize(("lost", "held"), [("done", True), ("not done", False)])
def test_the_result_of_an_unanswered_write_is_read_back(lost, held):
    async def act():
        store = FakeStore()
        manager = make_lease_manager(store, "a")
        assert await manager.try_acquire()
        store.lose = lost
        if held:
            order, _ = await manager.record("e1", "prefill")
            assert order.number == 1
        else:
            with pytest.raises(LeaseLostError):
                await manager.record("e1", "prefill")

    asyncio.run(act())


def test_an_order_may_be_sent_only_shortly_after_it_was_recorded():
    async def act():
        manager = make_lease_manager(FakeStore(), "a")
        await manager.try_acquire()
        now = asyncio.get_running_loop().time()
        _, until = await manager.record("e1", "prefill")
        assert 0 < until - now <= 0.6

    asyncio.run(act())
