"""The upstreams in the discovery list, with the open work of this host and its peers there."""

import math
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

from swifttrestle.internal.callbacks import do_nothing
from swifttrestle.internal.policy.distance import NO_REGIONS, Topology
from swifttrestle.internal.state.declared import EngineTraits, Role, UpstreamRecord
from swifttrestle.internal.state.prompt_cache import PromptCache, SentPrompt

# Assumed prefill rate in tokens per second of an engine without samples; low, so that no engine is
# overloaded before the first sample raises it.
DEFAULT_READ_RATE = 100_000.0
# Weight of a new sample in the moving average of the prefill rate. It remembers about ten requests.
RATE_SAMPLE_WEIGHT = 0.1
# Samples of fewer tokens are ignored: the network dominates their time.
MIN_SAMPLE_TOKENS = 512
# Prefill rate of an engine in the decode role, relative to the prefill role (engine protocol).
DECODE_READ_SHARE = 0.5
# Seconds for which a peer's reported work counts, four of its report intervals.
PEER_WORK_SECONDS = 1.0
# Stands for the version of an engine that the list does not show; no engine is listed with it.
UNKNOWN_BUILD = "?"


@dataclass(frozen=True)
class OpenWork:
    """Open work at an instance: prompt tokens that await prefill, and requests."""

    tokens: int = 0
    requests: int = 0

    def plus(self, other: "OpenWork") -> "OpenWork":
        """Return the sum of both."""
        return OpenWork(self.tokens + other.tokens, self.requests + other.requests)

    def minus(self, other: "OpenWork") -> "OpenWork":
        """Return the difference."""
        return OpenWork(self.tokens - other.tokens, self.requests - other.requests)


NO_WORK = OpenWork()


@dataclass
class Instance:
    """One incarnation of an upstream; times are seconds of the event loop's clock."""

    record: UpstreamRecord
    own: OpenWork = NO_WORK
    peers: OpenWork = NO_WORK
    read_rate: float = DEFAULT_READ_RATE
    refused_until: float = float("-inf")
    ordered_role: Role | None = None
    role_changing_until: float = float("-inf")
    # Whether it is no longer listed or has been replaced.
    gone: bool = False
    # Whether it has said that it is another incarnation than the listed one, whose version is
    # unknown until it is listed.
    restarted_unlisted: bool = False
    # Whether a later incarnation has replaced it, so that its cache is lost.
    replaced: bool = False
    cache: PromptCache = field(default_factory=PromptCache)

    @property
    def name(self) -> str:
        """The name of this incarnation, by which hosts refer to it in messages."""
        return self.record.start

    @property
    def build(self) -> str:
        """The version of its software, UNKNOWN_BUILD if it has restarted unlisted."""
        return UNKNOWN_BUILD if self.restarted_unlisted else self.record.build

    @property
    def role(self) -> Role:
        """Its role; the last ordered one until the record shows it."""
        return self.ordered_role or self.record.role

    @property
    def total(self) -> OpenWork:
        """The open work of all hosts."""
        return self.own.plus(self.peers)

    @property
    def effective_read_rate(self) -> float:
        """Prompt tokens per second that it prefills in its current role."""
        factor = DECODE_READ_SHARE if self.role is Role.DECODE else 1.0
        return self.read_rate * factor

    @property
    def leaving(self) -> bool:
        """Whether it gets no new work, because it is draining or no longer listed."""
        return self.gone or self.record.leaving

    def may_continue(self, build: str | None) -> bool:
        """Return whether it may continue a stream of a software version; None is a new stream."""
        return build is None or (build == self.record.build and not self.restarted_unlisted)

    def takes_work(self, role: Role, now: float) -> bool:
        """Return whether it accepts new work of a role now."""
        return not self.leaving and self.role is role and now >= self.role_changing_until

    def predict_wait(self) -> float:
        """Return the predicted seconds until its open work has been prefilled."""
        return max(0, self.total.tokens) / self.effective_read_rate

    def update_read_rate(self, tokens: int, seconds: float) -> None:
        """Update the prefill rate by one prompt; `tokens` include those queued before it."""
        if tokens < MIN_SAMPLE_TOKENS or seconds <= 0:
            return
        factor = DECODE_READ_SHARE if self.role is Role.DECODE else 1.0
        self.read_rate += RATE_SAMPLE_WEIGHT * (tokens / seconds / factor - self.read_rate)


def _return_false(_: str) -> bool:
    return False


@dataclass
class _PeerWork:
    received_at: float
    work: dict[str, OpenWork] = field(default_factory=dict)


class Fleet:
    """All listed upstream instances."""

    def __init__(self, topology: Topology = NO_REGIONS) -> None:
        """Start without instances; `topology` has the regions of the zones."""
        self.topology = topology
        # The current incarnations, by name.
        self.instances: dict[str, Instance] = {}
        # The name of the current incarnation, by the instance in the discovery list.
        self._current_names: dict[str, str] = {}
        # Called with an incarnation that a later one has replaced, or that is no longer listed.
        self.on_replaced: Callable[[Instance], None] = do_nothing
        self.on_removed: Callable[[Instance], None] = do_nothing
        # The services in the configuration in force, None if there is no configuration.
        self.declared: frozenset[str] | None = None
        # The event loop's time as of which the discovery list is known to be the store's.
        self.confirmed_at = float("-inf")
        # Declared properties of engines, by service.
        self.traits: dict[str, EngineTraits] = {}
        # Declared objectives for the time between two events of a stream, in seconds, by service.
        self.gap_objectives: dict[str, float] = {}
        # Returns whether an incarnation has announced in its responses that it is draining.
        self.announced_leaving: Callable[[str], bool] = _return_false
        self._services: dict[str, dict[str, Instance]] = defaultdict(dict)
        self._peers: dict[str, _PeerWork] = {}

    def list_service(self, service: str) -> list[Instance]:
        """Return the instances of a service, without those that are draining."""
        if not self.is_declared(service):
            return []
        return [item for item in self._services[service].values() if not item.record.leaving]

    def find_gap_objective(self, service: str) -> float:
        """Return the strictest objective for gaps in a service's streams; infinite without one."""
        return self.gap_objectives.get(service, math.inf)

    def list_services(self) -> list[str]:
        """Return the services that have had instances."""
        return list(self._services)

    def list_builds(self, service: str) -> set[str]:
        """Return the software versions of a service's instances, draining ones included."""
        return {item.record.build for item in self._services.get(service, {}).values()}

    def list_leaving(self, service: str) -> set[str]:
        """Return the names of a service's instances that are draining."""
        return {name for name, item in self._services[service].items() if item.record.leaving}

    def list_engine_services(self) -> list[str]:
        """Return the services that have listed model engines."""
        return [
            service
            for service, items in self._services.items()
            if self.is_declared(service)
            and any(item.record.role is not Role.NONE for item in items.values())
        ]

    def is_engine(self, instance: str) -> bool:
        """Return whether an instance is a known model engine."""
        known = self.instances.get(instance)
        return known is not None and known.record.role is not Role.NONE

    def is_declared(self, service: str) -> bool:
        """Return whether the configuration declares a service; others are not used."""
        return self.declared is None or service in self.declared

    def list_names(self) -> set[str]:
        """Return the current instances, as named in the discovery list."""
        return set(self._current_names)

    def knows(self, instance: str) -> bool:
        """Return whether an instance of the discovery list is known."""
        return instance in self._current_names

    def find_current_incarnation(self, instance: str) -> Instance | None:
        """Return the current incarnation of an instance of the discovery list, or None."""
        name = self._current_names.get(instance)
        return None if name is None else self.instances[name]

    def is_stale_record(self, record: UpstreamRecord) -> bool:
        """Return whether a record is of an earlier incarnation than the current one."""
        known = self.find_current_incarnation(record.instance)
        return known is not None and record.born < known.record.born

    def put(self, record: UpstreamRecord) -> bool:
        """Store a record; return whether anything but its heartbeat changed.

        A later incarnation discards all state of the one before, including its open work. A record
        of an earlier one is stale and ignored. An incarnation that has announced that it is
        draining counts as such whatever its record shows, since the store may be unavailable.
        """
        if not record.leaving and self.announced_leaving(record.start):
            record = replace(record, leaving=True)
        known = self.find_current_incarnation(record.instance)
        if known is not None and (known.record == record or self.is_stale_record(record)):
            return False
        if known is not None and known.name != record.start:
            self._replace(known)
            known = None
        if known is None:
            known = Instance(record, read_rate=self._estimate_rate(record.service))
            self.instances[record.start] = known
            self._current_names[record.instance] = record.start
        elif known.record.service != record.service:
            self._services[known.record.service].pop(known.name, None)
        if known.record.role is not record.role:
            # The record reflects an order by now, or the engine has restarted.
            known.role_changing_until = float("-inf")
            known.ordered_role = None
        known.record = record
        self._services[record.service][known.name] = known
        return True

    def note_leaving(self, start: str) -> None:
        """Mark an incarnation as draining after it has announced that it is."""
        known = self.instances.get(start)
        if known is not None:
            self.put(known.record)

    def _replace(self, replaced_instance: Instance) -> None:
        replaced_instance.replaced = True
        self._drop(replaced_instance)
        self.on_replaced(replaced_instance)

    def note_ordered_role(self, instance: str, role: Role, ready_at: float) -> None:
        """Treat an engine as changing to a role until `ready_at`, and as in that role after it."""
        known = self.instances.get(instance)
        if known is None or known.role is role:
            return
        known.ordered_role = role
        known.role_changing_until = ready_at

    def remove(self, instance: str) -> bool:
        """Remove an instance of the discovery list; return whether it was known."""
        known = self.find_current_incarnation(instance)
        if known is None:
            return False
        self._drop(known)
        self.on_removed(known)
        return True

    def _drop(self, instance: Instance) -> None:
        instance.gone = True
        self.instances.pop(instance.name, None)
        self._current_names.pop(instance.record.instance, None)
        self._services[instance.record.service].pop(instance.name, None)

    def note_peer(self, peer: str, work: dict[str, OpenWork], now: float) -> None:
        """Replace the open work that a peer reports."""
        previous = self._peers.get(peer)
        if previous is not None:
            self._add_peer_work(previous.work.items(), sign=-1)
        self._peers[peer] = _PeerWork(now, work)
        self._add_peer_work(work.items(), sign=1)

    def note_prompt(self, prompt: SentPrompt) -> None:
        """Record the parts of a prompt sent to an engine as cached there."""
        known = self.instances.get(prompt.engine)
        if known is not None:
            traits = self.traits.get(known.record.service)
            known.cache.note(prompt.parts, traits.kv_tokens if traits else 0, prompt.read)

    def expire_peers(self, now: float) -> None:
        """Drop the work of peers that have stopped reporting."""
        for peer, known in list(self._peers.items()):
            if now - known.received_at > PEER_WORK_SECONDS:
                self._add_peer_work(known.work.items(), sign=-1)
                del self._peers[peer]

    def own_work(self) -> dict[str, OpenWork]:
        """Return the open work of this host, by instance."""
        return {name: item.own for name, item in self.instances.items() if item.own != NO_WORK}

    def _add_peer_work(self, items: Iterable[tuple[str, OpenWork]], sign: int) -> None:
        for name, work in items:
            instance = self.instances.get(name)
            if instance is None:
                continue
            combined = instance.peers.plus(work) if sign > 0 else instance.peers.minus(work)
            # The peer's earlier report may have preceded this instance's listing here, so that
            # less was added than is subtracted now.
            instance.peers = OpenWork(max(0, combined.tokens), max(0, combined.requests))

    def _estimate_rate(self, service: str) -> float:
        rates = [item.read_rate for item in self._services[service].values()]
        return sum(rates) / len(rates) if rates else DEFAULT_READ_RATE
