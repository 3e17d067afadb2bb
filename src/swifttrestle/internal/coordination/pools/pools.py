"""One pool of engines under one lease: which model each engine is to load, and how it is changed.

The holder of a pool's lease controls it, one step of each engine at a time. Safety depends on the
order of the steps:

    record the order -> close the engine at every entry that may use it -> wait until each entry
    reports no open request there -> wait until the engine reports no active request -> record the
    order as sent -> check the lease -> send -> wait for the engine's confirmation -> open

Engines that ignore the fencing number get no order while a former holder may be alive.
"""

from collections.abc import Callable, Mapping

from swifttrestle.errors import (
    ConflictError,
    LeaseLostError,
    PlatformUnavailableError,
    StaleTokenError,
    UpstreamError,
)
from swifttrestle.internal.clock import Clock
from swifttrestle.internal.coordination.duties.leases import Holder, LeaseManager, make_fence
from swifttrestle.internal.coordination.membership.hosts import HostTracker
from swifttrestle.internal.coordination.membership.membership import MEMBER, Membership, read_member
from swifttrestle.internal.coordination.pools.engine_views import (
    EngineView,
    PoolStatus,
    describe_view,
)
from swifttrestle.internal.coordination.pools.orders import Order, OrderLog, Stage
from swifttrestle.internal.coordination.store.object_cache import ObjectCache
from swifttrestle.internal.logs import log_info, log_warning
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.policy.roles import EngineLoad, RolePlanner
from swifttrestle.internal.protocol.engine import (
    Engine,
    EngineAssignment,
    HttpEngine,
)
from swifttrestle.internal.protocol.peers import ENTRY, Identity
from swifttrestle.internal.state.closings import (
    ClosingTable,
    closing_generation,
    opening_generation,
)
from swifttrestle.resources import ResourceSet, Upstream

SILENT_ENTRY_TIMEOUT_SECONDS = 20.0
UNCONFIRMED_ORDER_TIMEOUT_SECONDS = 5.0
EngineFactory = Callable[[Upstream], Engine]


def make_http_engine(upstream: Upstream) -> Engine:
    """Return the client of an engine that is called by HTTP."""
    return HttpEngine(upstream.address)


class Pool:
    """Controls one pool. Not thread-safe: used by the pool's actor alone."""

    def __init__(
        self,
        name: str,
        lease: LeaseManager,
        *,
        log: OrderLog,
        cache: ObjectCache,
        membership: Membership,
        closings: ClosingTable,
        hosts: HostTracker,
        planner: RolePlanner,
        clock: Clock,
        metrics: Metrics,
        make_engine: EngineFactory = make_http_engine,
    ) -> None:
        self.name = name
        self.lease = lease
        self._log = log
        self._cache = cache
        self._membership = membership
        self._closings = closings
        self._hosts = hosts
        self._planner = planner
        self._clock = clock
        self._metrics = metrics
        self._make_engine = make_engine
        self._term = 0
        self._sequence = 0
        self._views: dict[str, EngineView] = {}

    def tick(self, config: ResourceSet) -> None:
        """Renew or contend for the lease; as its holder, advance each engine by one step."""
        self.lease.tick()
        if not self.lease.held:
            self._term = 0
            return
        if self._term != self.lease.check():
            self._begin_term()
        upstreams = {u.name: u for u in config.upstreams.values() if u.pool == self.name}
        try:
            self._remove_dead_former()
            self._observe(upstreams)
            for upstream in upstreams.values():
                self._step(upstream, config)
            self._plan_roles(upstreams, config)
        except (LeaseLostError, StaleTokenError) as error:
            log_info("pool control lost", pool=self.name, reason=str(error))
        except (PlatformUnavailableError, ConflictError) as error:
            # The next tick continues; open orders stay recorded.
            self._metrics.count("pool_waits_total", pool=self.name, reason=error.code.name)

    def status(self) -> PoolStatus | None:
        """Return the status, or None if this process does not hold the pool's lease."""
        lease = self.lease.lease
        if lease is None or not self.lease.held:
            return None
        engines = {name: describe_view(view) for name, view in self._views.items()}
        former = tuple(holder.name for holder in lease.former)
        return PoolStatus(lease.holder.name, lease.token, former, engines)

    def _begin_term(self) -> None:
        self._term = self.lease.check()
        self._sequence = 0
        self._views = {}

    def _next_fence(self) -> int:
        self._sequence += 1
        return make_fence(self.lease.check(), self._sequence)

    def _remove_dead_former(self) -> None:
        """Remove former holders that are proved dead from the lease."""
        lease = self.lease.lease
        if lease is None or not lease.former:
            return
        alive = tuple(holder for holder in lease.former if not self._is_dead(holder))
        if alive != lease.former:
            self.lease.set_former(alive)

    def _is_dead(self, holder: Holder) -> bool:
        if self._hosts.is_gone(holder.host):
            return True
        stored = self._cache.get(MEMBER, holder.name)
        member = read_member(stored) if stored else None
        same_host = member is not None and member.host == holder.host
        return same_host and member is not None and member.incarnation > holder.incarnation

    # Reports of the engines.

    def _observe(self, upstreams: Mapping[str, Upstream]) -> None:
        for name in set(self._views) - set(upstreams):
            del self._views[name]
        for name, upstream in upstreams.items():
            if name not in self._views:
                self._views[name] = EngineView(self._make_engine(upstream))
            view = self._views[name]
            try:
                view.state = view.engine.read_state()
                view.report = view.engine.read_load()
            except UpstreamError as error:
                view.state = view.report = None
                view.unseen_since = None
                view.reason = f"unreachable: {error}"

    # One step of one engine.

    def _step(self, upstream: Upstream, config: ResourceSet) -> None:
        view = self._views[upstream.name]
        if not view.order_read:
            view.order = self._log.read(upstream.name)
            view.order_read = True
            self._announce(view.order)
        if view.state is None:
            return
        if not self._has_authority(upstream, view):
            return
        if view.order is not None and view.order.is_open:
            self._advance(upstream, view, view.order)
            return
        wanted = self._find_wanted(upstream, view, config)
        if upstream.name in config.drains or view.state.changing:
            view.reason = "drained" if upstream.name in config.drains else "changing"
            return
        if wanted == view.state.holding:
            view.reason = "as declared"
            return
        self._start(upstream, view, wanted)

    def _has_authority(self, upstream: Upstream, view: EngineView) -> bool:
        """Return whether no earlier holder's order can still take effect on this engine."""
        assert view.state is not None
        if upstream.fencing == "checked":
            if view.raised_boot != view.state.boot:
                self._send(view, "raise", None)
                view.raised_boot = view.state.boot
            return True
        lease = self.lease.lease
        if lease is not None and lease.former:
            names = ", ".join(holder.name for holder in lease.former)
            view.reason = f"waits: former holder {names} is not proved dead"
            return False
        return True

    def _find_wanted(
        self, upstream: Upstream, view: EngineView, config: ResourceSet
    ) -> EngineAssignment:
        assert view.state is not None
        model = config.models.get(upstream.model)
        if model is None:
            return view.state.holding
        adapters = sorted(
            f"{adapter.name}@{adapter.version}"
            for adapter in config.adapters.values()
            if adapter.model == model.name
        )
        planned = config.policy.plan_roles and view.state.holding.model == model.name
        role = view.state.holding.role if planned else upstream.role
        return EngineAssignment(model.name, model.version, tuple(adapters), role)

    def _start(self, upstream: Upstream, view: EngineView, wanted: EngineAssignment) -> None:
        if self._is_last_ready(upstream, view):
            view.reason = "waits: no other engine of its pool is ready"
            return
        view.order = self._log.open(upstream.name, view.order, wanted)
        view.closing_since = self._clock.now()
        self._announce(view.order)
        log_info("order opened", order=view.order.order_id, wanted=str(wanted.plain()))
        self._advance(upstream, view, view.order)

    def _is_last_ready(self, upstream: Upstream, view: EngineView) -> bool:
        """Return whether no other engine could serve callers while this one changes."""
        assert view.state is not None
        if not view.state.holding.model:
            return False
        others = [v for name, v in self._views.items() if name != upstream.name]
        if not others:
            return False
        return not any(
            v.state
            and v.state.holding.model == upstream.model
            and not v.state.changing
            and not (v.order and v.order.is_open)
            for v in others
        )

    def _advance(self, upstream: Upstream, view: EngineView, order: Order) -> None:
        if order.stage is Stage.CLOSING:
            self._close_then_send(upstream, view, order)
        else:
            self._confirm_or_resend(upstream, view, order)

    def _close_then_send(self, upstream: Upstream, view: EngineView, order: Order) -> None:
        self._announce(order)
        assert view.state is not None
        unready = self._find_unready_entry(upstream.name, closing_generation(order.number))
        if unready:
            view.reason = f"closing: waits for entry {unready}"
            self._drop_after_timeout(view, order)
            return
        # Read again after every entry has closed: only then can the count not rise any more.
        view.state = view.engine.read_state()
        if view.state.active:
            view.reason = f"closing: {view.state.active} requests active"
            return
        fence = self._next_fence()
        view.order = self._log.move(order, Stage.SENT, fence, view.state.boot)
        view.reason = "sent"
        self._send(view, order.order_id, order.wanted, fence)

    def _find_unready_entry(self, upstream: str, generation: int) -> str:
        """Return an entry that may still send to the engine, and why, or the empty string.

        The members are listed after the order was recorded, see `Membership.register_once`.
        """
        if not self._cache.connected:
            return "list (the object API is down)"
        for name, identity in self._membership.members(ENTRY).items():
            if self._is_entry_dead(identity):
                continue
            view = self._membership.view(name)
            if view is None:
                return f"{name} (silent)"
            if view.generations.get(upstream, 0) < generation:
                return f"{name} (has not closed)"
            if view.open.get(upstream, 0):
                return f"{name} ({view.open[upstream]} open)"
        return ""

    def _is_entry_dead(self, identity: Identity) -> bool:
        # An entry that sends heartbeats is alive, even if its host is listed as gone.
        is_alive = self._membership.view(identity.name) is not None
        return not is_alive and self._hosts.is_gone(identity.host)

    def _drop_after_timeout(self, view: EngineView, order: Order) -> None:
        """Drop the order if an entry stays silent; the change is planned again later."""
        if "silent" not in view.reason:
            view.closing_since = view.closing_since or self._clock.now()
            return
        if self._clock.now() - view.closing_since < SILENT_ENTRY_TIMEOUT_SECONDS:
            return
        view.order = self._log.move(order, Stage.DROPPED)
        view.refused_until = self._clock.now() + SILENT_ENTRY_TIMEOUT_SECONDS
        self._announce(view.order)
        log_warning("order dropped", order=order.order_id, reason=view.reason)

    def _confirm_or_resend(self, upstream: Upstream, view: EngineView, order: Order) -> None:
        state = view.state
        assert state is not None
        if state.last_order == order.order_id and not state.changing:
            self._finish(view, order)
            return
        if state.changing or state.last_order == order.order_id:
            view.reason = "changing"
            return
        # The engine has not accepted the order. An engine that checks fencing numbers gets it again
        # under a higher number, which invalidates the first one. An engine that ignores them gets
        # it again only after a new boot, or once the first one can no longer be queued in its
        # sockets: a second change to the same state would interrupt the engine needlessly.
        if upstream.fencing == "checked" or state.boot != order.boot or self._is_overdue(view):
            if state.active:
                view.reason = f"to be sent again: {state.active} requests active"
                return
            fence = self._next_fence()
            view.order = self._log.move(order, Stage.SENT, fence, state.boot)
            view.unseen_since = None
            self._send(view, order.order_id, order.wanted, fence)
            return
        view.reason = "sent: outcome unknown, waits for the engine to report it"

    def _is_overdue(self, view: EngineView) -> bool:
        """Return whether an engine that answers has not reported a sent order in time."""
        if view.unseen_since is None:
            view.unseen_since = self._clock.now()
        return self._clock.now() - view.unseen_since > UNCONFIRMED_ORDER_TIMEOUT_SECONDS

    def _finish(self, view: EngineView, order: Order) -> None:
        view.order = self._log.move(order, Stage.DONE)
        view.changed_at = self._clock.now()
        view.reason = "as ordered"
        self._announce(view.order)
        self._metrics.count("orders_done_total", pool=self.name)
        log_info("order done", order=order.order_id)

    def _send(
        self, view: EngineView, order_id: str, wanted: EngineAssignment | None, fence: int = 0
    ) -> None:
        number = fence or self._next_fence()
        self.lease.check()
        try:
            view.engine.send_order(order_id, number, wanted)
        except UpstreamError as error:
            view.reason = f"sent, no answer: {error}"
            if wanted is None:
                raise PlatformUnavailableError(
                    f"the engine did not accept fencing number {number}"
                ) from None

    def _announce(self, order: Order | None) -> None:
        """Announce to the entries whether the order's engine is closed or open."""
        if order is None:
            return
        make_generation = closing_generation if order.is_open else opening_generation
        self._closings.merge({order.engine: make_generation(order.number)})

    # Roles.

    def _plan_roles(self, upstreams: Mapping[str, Upstream], config: ResourceSet) -> None:
        if not config.policy.plan_roles:
            return
        if any(view.order and view.order.is_open for view in self._views.values()):
            return
        loads = [
            EngineLoad(
                name,
                view.state.holding.role,
                view.report.waiting_tokens,
                view.report.waiting,
                view.report.decoding,
                view.report.slots,
                view.report.tokens_out,
                view.report.prefilled,
                view.report.at,
                view.changed_at,
            )
            for name, view in self._views.items()
            if view.state and view.report and name in upstreams and name not in config.drains
            if view.state.holding.model == upstreams[name].model and not view.state.changing
            if self._clock.now() >= view.refused_until
        ]
        if len(loads) < len(upstreams) - len([n for n in upstreams if n in config.drains]):
            # A plan needs reports from all engines.
            return
        change = self._planner.plan(loads, config.policy, self._clock.now())
        if change is None:
            return
        upstream = upstreams[change.engine]
        view = self._views[change.engine]
        assert view.state is not None
        if upstream.fencing == "ignored" and self.lease.lease and self.lease.lease.former:
            return
        held = view.state.holding
        log_info("role planned", engine=change.engine, role=change.role, reason=change.reason)
        self._metrics.count("role_changes_total", pool=self.name)
        wanted = EngineAssignment(held.model, held.version, held.adapters, change.role)
        self._start(upstream, view, wanted)
