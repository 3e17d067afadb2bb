"""The upstreams that discovery lists, with what this host and its peers have open there."""

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

from swifttrestle.internal.callbacks import do_nothing
from swifttrestle.internal.state.declared import EngineTraits, Role, UpstreamRecord
from swifttrestle.internal.state.prompt_cache import PromptCache, SentPrompt

# Tokens a second that an engine reads until its speed has been measured; low, so that the
# first measurement corrects it upwards and no engine is flooded before.
DEFAULT_READ_RATE = 100_000.0
# Share of the newest measurement in the learned speed: about ten requests of memory.
LEARN_SHARE = 0.1
# Measurements below this many tokens say more of the network than of the engine.
LEAST_LEARN_TOKENS = 512
# A decoding engine reads prompts at half the pace of a prefilling one (engines' protocol).
DECODE_READ_SHARE = 0.5
# Work that peers report counts for this long, in seconds; four missed reports at their pace.
PEER_WORK_SECONDS = 1.0


@dataclass(frozen=True)
class OpenWork:
    """What is open at an instance: prompt tokens to be read, and requests."""

    tokens: int = 0
    requests: int = 0

    def plus(self, other: "OpenWork") -> "OpenWork":
        """Return both together."""
        return OpenWork(self.tokens + other.tokens, self.requests + other.requests)

    def minus(self, other: "OpenWork") -> "OpenWork":
        """Return what is left without the other."""
        return OpenWork(self.tokens - other.tokens, self.requests - other.requests)


NO_WORK = OpenWork()


@dataclass
class Instance:
    """One start of an upstream; times are the loop's seconds."""

    record: UpstreamRecord
    own: OpenWork = NO_WORK
    peers: OpenWork = NO_WORK
    read_rate: float = DEFAULT_READ_RATE
    refused_until: float = float("-inf")
    ordered_role: Role | None = None
    role_changing_until: float = float("-inf")
    gone: bool = False
    # Whether a later start has taken its place: nothing that it kept is left.
    replaced: bool = False
    cache: PromptCache = field(default_factory=PromptCache)

    @property
    def name(self) -> str:
        """The name of this start; what hosts tell each other goes by it."""
        return self.record.start

    @property
    def role(self) -> Role:
        """Its role, by the last order where the record does not show that yet."""
        return self.ordered_role or self.record.role

    @property
    def total(self) -> OpenWork:
        """What is open here by all hosts."""
        return self.own.plus(self.peers)

    @property
    def effective_read_rate(self) -> float:
        """Prompt tokens that it reads a second in its present role."""
        share = DECODE_READ_SHARE if self.role is Role.DECODE else 1.0
        return self.read_rate * share

    @property
    def leaving(self) -> bool:
        """Whether it gets no new work: it said that it leaves, or is not listed any more."""
        return self.gone or self.record.leaving

    def takes_work(self, role: Role, now: float) -> bool:
        """Return whether it takes new work of a role now."""
        return not self.leaving and self.role is role and now >= self.role_changing_until

    def predict_wait(self) -> float:
        """Return the seconds until what is open here has been read."""
        return max(0, self.total.tokens) / self.effective_read_rate

    def update_read_rate(self, tokens: int, seconds: float) -> None:
        """Learn the speed from tokens that were read in some time, with all that stood before."""
        if tokens < LEAST_LEARN_TOKENS or seconds <= 0:
            return
        share = DECODE_READ_SHARE if self.role is Role.DECODE else 1.0
        self.read_rate += LEARN_SHARE * (tokens / seconds / share - self.read_rate)


def _never(_: str) -> bool:
    """Return that it has not."""
    return False


@dataclass
class _PeerWork:
    at: float
    work: dict[str, OpenWork] = field(default_factory=dict)


class Fleet:
    """All instances by service."""

    def __init__(self) -> None:
        """Start with none."""
        # The starts in use, by their names.
        self.instances: dict[str, Instance] = {}
        # The name of the start in use of each instance that the list names.
        self._starts: dict[str, str] = {}
        # Called with a start that a later one has replaced, and with one that the list has lost.
        self.on_replaced: Callable[[Instance], None] = do_nothing
        self.on_removed: Callable[[Instance], None] = do_nothing
        # The services that the configuration in force names, None while there is none.
        self.declared: frozenset[str] | None = None
        # The loop's time at which the discovery list was last confirmed.
        self.confirmed_at = float("-inf")
        # What services declare of their engines, by service.
        self.traits: dict[str, EngineTraits] = {}
        # Whether a start has said in its own answers that it leaves.
        self.announced_leaving: Callable[[str], bool] = _never
        self._services: dict[str, dict[str, Instance]] = defaultdict(dict)
        self._peers: dict[str, _PeerWork] = {}

    def list_service(self, service: str) -> list[Instance]:
        """Return the instances of a service that are not leaving."""
        if not self.is_declared(service):
            return []
        return [item for item in self._services[service].values() if not item.record.leaving]

    def list_leaving(self, service: str) -> set[str]:
        """Return the names of a service's instances that are leaving."""
        return {name for name, item in self._services[service].items() if item.record.leaving}

    def list_engine_services(self) -> list[str]:
        """Return the services of which model engines are listed."""
        return [
            service
            for service, items in self._services.items()
            if self.is_declared(service)
            and any(item.record.role is not Role.NONE for item in items.values())
        ]

    def is_engine(self, instance: str) -> bool:
        """Return whether an instance is a model engine that is known here."""
        known = self.instances.get(instance)
        return known is not None and known.record.role is not Role.NONE

    def is_declared(self, service: str) -> bool:
        """Return whether a service's instances may be used; the others are kept aside."""
        return self.declared is None or service in self.declared

    def list_names(self) -> set[str]:
        """Return the instances in use as the discovery list names them."""
        return set(self._starts)

    def knows(self, instance: str) -> bool:
        """Return whether an instance that the list names is in use."""
        return instance in self._starts

    def find_start(self, instance: str) -> Instance | None:
        """Return the start in use of an instance that the list names."""
        name = self._starts.get(instance)
        return None if name is None else self.instances[name]

    def is_stale_record(self, record: UpstreamRecord) -> bool:
        """Return whether a record is of an earlier start than the one in use."""
        known = self.find_start(record.instance)
        return known is not None and record.born < known.record.born

    def put(self, record: UpstreamRecord) -> bool:
        """Take a record over; return whether anything but its heartbeat changed.

        A later start ends all that was believed of the one before, open work included. A record
        of an earlier start than the one in use is an old word and changes nothing. What a start
        has said itself counts against a list that still calls it ready: the store may be away.
        """
        if not record.leaving and self.announced_leaving(record.start):
            record = replace(record, leaving=True)
        known = self.find_start(record.instance)
        if known is not None and (known.record == record or self.is_stale_record(record)):
            return False
        if known is not None and known.name != record.start:
            self._replace(known)
            known = None
        if known is None:
            known = Instance(record, read_rate=self._guess_rate(record.service))
            self.instances[record.start] = known
            self._starts[record.instance] = record.start
        elif known.record.service != record.service:
            self._services[known.record.service].pop(known.name, None)
        if known.record.role is not record.role:
            # The record has caught up with an order, or the engine was started anew.
            known.role_changing_until = float("-inf")
            known.ordered_role = None
        known.record = record
        self._services[record.service][known.name] = known
        return True

    def note_leaving(self, start: str) -> None:
        """Take over that a start has said that it leaves."""
        known = self.instances.get(start)
        if known is not None:
            self.put(known.record)

    def _replace(self, former: Instance) -> None:
        former.replaced = True
        self._drop(former)
        self.on_replaced(former)

    def note_ordered_role(self, instance: str, role: Role, ready_at: float) -> None:
        """Take an engine as changing to a role until `ready_at`, and as in it after that."""
        known = self.instances.get(instance)
        if known is None or known.role is role:
            return
        known.ordered_role = role
        known.role_changing_until = ready_at

    def remove(self, instance: str) -> bool:
        """Drop an instance that the list names; return whether it was known."""
        known = self.find_start(instance)
        if known is None:
            return False
        self._drop(known)
        self.on_removed(known)
        return True

    def _drop(self, start: Instance) -> None:
        start.gone = True
        self.instances.pop(start.name, None)
        self._starts.pop(start.record.instance, None)
        self._services[start.record.service].pop(start.name, None)

    def note_peer(self, peer: str, work: dict[str, OpenWork], now: float) -> None:
        """Take over what a peer has open."""
        before = self._peers.get(peer)
        if before is not None:
            self._add(before.work.items(), sign=-1)
        self._peers[peer] = _PeerWork(now, work)
        self._add(work.items(), sign=1)

    def note_prompt(self, prompt: SentPrompt) -> None:
        """Take an engine as keeping the parts of a prompt that was sent to it."""
        known = self.instances.get(prompt.engine)
        if known is not None:
            traits = self.traits.get(known.record.service)
            known.cache.note(prompt.parts, traits.kv_tokens if traits else 0, prompt.read)

    def expire_peers(self, now: float) -> None:
        """Forget the work of peers that have been silent."""
        for peer, known in list(self._peers.items()):
            if now - known.at > PEER_WORK_SECONDS:
                self._add(known.work.items(), sign=-1)
                del self._peers[peer]

    def own_work(self) -> dict[str, OpenWork]:
        """Return what this host has open, by instance."""
        return {name: item.own for name, item in self.instances.items() if item.own != NO_WORK}

    def _add(self, items: Iterable[tuple[str, OpenWork]], sign: int) -> None:
        for name, work in items:
            instance = self.instances.get(name)
            if instance is None:
                continue
            both = instance.peers.plus(work) if sign > 0 else instance.peers.minus(work)
            # A peer may report an instance before this host knows it.
            instance.peers = OpenWork(max(0, both.tokens), max(0, both.requests))

    def _guess_rate(self, service: str) -> float:
        rates = [item.read_rate for item in self._services[service].values()]
        return sum(rates) / len(rates) if rates else DEFAULT_READ_RATE
