"""The kinds of resources that operators declare, and their validation.

A resource is a frozen data class. Its fields carry their check and description, which the parser,
the error messages and `swifttrestle-ctl explain` use.
"""

import dataclasses
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, fields
from functools import partial
from typing import Any, ClassVar

from returns.result import Failure, Result, Success

from swifttrestle.internal.checks import (
    check_address,
    check_bool,
    check_choice,
    check_integer,
    check_name,
    check_names,
    check_number,
    check_sha256,
)
from swifttrestle.internal.validated_fields import (
    InvalidFieldsError,
    check_fields,
    validated_field,
)
from swifttrestle.internal.workspace_quota import WorkspaceQuota, check_quota

DAY_MS = 86_400_000
PRIORITIES = ("urgent", "normal", "background")
ROLES = ("mixed", "prefill", "decode")


@dataclass(frozen=True)
class FieldFault:
    """Why a resource is invalid; `message` has the value and the fix."""

    resource: str
    field: str
    message: str

    def __str__(self) -> str:
        """Return one line for an operator."""
        return f"{self.resource}: {self.field}: {self.message}"


def check_digests(value: Any) -> tuple[str, ...]:
    """Return a non-empty tuple of SHA-256 digests."""
    if not isinstance(value, list | tuple) or not value:
        raise ValueError("no digest given; give a list of one or more SHA-256 digests")
    return tuple(check_sha256(item) for item in value)


def check_optional_name(value: Any) -> str:
    """Return a name or the empty string."""
    return "" if value == "" else check_name(value)


def check_versions(value: Any) -> tuple[str, ...]:
    """Return a non-empty tuple of version names."""
    names = check_names(value)
    if not names:
        raise ValueError("[] is empty; give at least one version")
    return names


@dataclass(frozen=True, kw_only=True)
class Resource:
    """Base class of all kinds; `name` is unique within a kind."""

    KIND: ClassVar[str] = ""
    name: str = validated_field("Name, unique within its kind.", check_name)

    @property
    def key(self) -> str:
        """Kind and name."""
        return f"{self.KIND}/{self.name}"

    def spec(self) -> dict[str, Any]:
        """Return all fields except the name as plain values.

        Fields without a value are left out, so that processes of an earlier version, which skip
        resources with unknown fields, accept resources that do not use the newer ones.
        """
        values = {item.name: getattr(self, item.name) for item in fields(self)}
        del values["name"]
        return {key: _to_plain(value) for key, value in values.items() if value is not None}


def _to_plain(value: Any) -> Any:
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return dataclasses.asdict(value)
    return list(value) if isinstance(value, tuple) else value


@dataclass(frozen=True, kw_only=True)
class Workspace(Resource):
    """A group of callers with its own keys."""

    KIND: ClassVar[str] = "Workspace"
    key_sha256: tuple[str, ...] = validated_field(
        "SHA-256 digests of the keys that callers may send; two while one is being replaced.",
        check_digests,
    )
    share: float = validated_field(
        "Weight of this workspace's waiting requests relative to other workspaces.",
        partial(check_number, low=0.01, high=100),
        1.0,
    )
    quota: WorkspaceQuota | None = validated_field(
        "Limit with rate_per_s, burst and unit ('tokens' or 'requests'); null for none.",
        check_quota,
        None,
    )


@dataclass(frozen=True, kw_only=True)
class Model(Resource):
    """A base model and the version that engines load."""

    KIND: ClassVar[str] = "Model"
    versions: tuple[str, ...] = validated_field(
        "Versions that engines may hold and serve.", check_versions
    )
    version: str = validated_field("The version that engines are to load.", check_name)


@dataclass(frozen=True, kw_only=True)
class Adapter(Resource):
    """A set of adapter weights on top of a base model."""

    KIND: ClassVar[str] = "Adapter"
    model: str = validated_field("The base model it belongs to.", check_name)
    version: str = validated_field("The version that engines are to load.", check_name)


@dataclass(frozen=True, kw_only=True)
class Service(Resource):
    """A service that callers can call: a model or a plain service."""

    KIND: ClassVar[str] = "Service"
    type: str = validated_field(
        "'model' for model engines, 'plain' for plain services.",
        partial(check_choice, choices=("model", "plain")),
    )
    model: str = validated_field("The model; for type 'model' only.", check_optional_name, "")
    adapter: str = validated_field("The adapter; empty for none.", check_optional_name, "")
    priority: str = validated_field(
        "Class of its requests: urgent goes first and has reserved capacity.",
        partial(check_choice, choices=PRIORITIES),
        "normal",
    )
    deadline_ms: int = validated_field(
        "Milliseconds from arrival to the complete response, unless the caller gives less.",
        partial(check_integer, low=10, high=DAY_MS),
        60_000,
    )
    max_tokens: int = validated_field(
        "Most tokens of a response, and the default if the caller gives none.",
        partial(check_integer, low=1, high=1_000_000),
        512,
    )
    repeatable: bool = validated_field(
        "Whether a call may be sent again when its response was lost.", check_bool, True
    )
    claim: str = validated_field(
        "Where the id of a may-not-repeat call is recorded: 'entry' (memory of the entry) or "
        "'platform' (one write per call, refused while the object API is down).",
        partial(check_choice, choices=("entry", "platform")),
        "entry",
    )
    workspaces: tuple[str, ...] = validated_field(
        "Workspaces that may call it; empty for all.", check_names, ()
    )


@dataclass(frozen=True, kw_only=True)
class Upstream(Resource):
    """A model engine or an instance of a plain service."""

    KIND: ClassVar[str] = "Upstream"
    type: str = validated_field(
        "'engine' or 'plain'.", partial(check_choice, choices=("engine", "plain"))
    )
    address: str = validated_field("Address it listens on, HOST:PORT.", check_address)
    zone: str = validated_field("Availability zone.", check_name)
    model: str = validated_field("The model it is to hold; for engines.", check_optional_name, "")
    services: tuple[str, ...] = validated_field(
        "The plain services it answers; for type 'plain'.", check_names, ()
    )
    fencing: str = validated_field(
        "'checked' if it refuses orders with an old fencing token, 'ignored' if it accepts any.",
        partial(check_choice, choices=("checked", "ignored")),
        "ignored",
    )
    role: str = validated_field(
        "Initial role, which stays if the policy plans no roles.",
        partial(check_choice, choices=ROLES),
        "mixed",
    )
    slots: int = validated_field(
        "Requests it runs at once; an estimate that its reports replace.",
        partial(check_integer, low=1, high=100_000),
        16,
    )

    @property
    def pool(self) -> str:
        """The pool of engines under one lease: those of a model in an availability zone."""
        return f"{self.model}.{self.zone}"


@dataclass(frozen=True, kw_only=True)
class Policy(Resource):
    """Weights and limits of scheduling decisions; the policy named 'default' is used."""

    KIND: ClassVar[str] = "Policy"
    plan_roles: bool = validated_field(
        "Whether engines' roles are changed; off by default, see docs/design/roles.md.",
        check_bool,
        False,
    )
    role_change_weight: float = validated_field(
        "Goodput against role changes: 0 changes roles for any gain, 1 only for a lasting and "
        "large gain.",
        partial(check_number, low=0, high=1),
        0.3,
    )
    role_dwell_seconds: float = validated_field(
        "Least seconds between two role changes of one engine.",
        partial(check_number, low=0, high=86_400),
        60.0,
    )
    role_floor: int = validated_field(
        "Least engines of a pool that can take prefill work, and likewise decode work.",
        partial(check_integer, low=1, high=1000),
        1,
    )
    urgent_reserve: float = validated_field(
        "Share of each upstream's capacity that only urgent requests may use.",
        partial(check_number, low=0, high=0.9),
        0.15,
    )
    queue_limit: int = validated_field(
        "Most requests that wait for capacity in one entry.",
        partial(check_integer, low=0, high=100_000),
        64,
    )
    retry_ratio: float = validated_field(
        "Retries as a share of requests.", partial(check_number, low=0, high=1), 0.1
    )
    attempts: int = validated_field(
        "Most attempts of one request.", partial(check_integer, low=1, high=10), 3
    )
    ejection_cap: float = validated_field(
        "Largest share of a service's upstreams that may be ejected as broken.",
        partial(check_number, low=0, high=1),
        0.34,
    )
    return_seconds: float = validated_field(
        "Seconds over which an ejected upstream returns to its full share.",
        partial(check_number, low=0, high=600),
        10.0,
    )


@dataclass(frozen=True, kw_only=True)
class Drain(Resource):
    """Takes an upstream out of use; the name is the upstream's."""

    KIND: ClassVar[str] = "Drain"
    mode: str = validated_field(
        "'drain': no new work until this resource is deleted; 'withdraw': it leaves permanently.",
        partial(check_choice, choices=("drain", "withdraw")),
        "drain",
    )


KINDS: dict[str, type[Resource]] = {
    kind.KIND: kind for kind in (Workspace, Model, Adapter, Service, Upstream, Policy, Drain)
}


def parse_resource(kind: str, name: Any, spec: Any) -> Result[Resource, tuple[FieldFault, ...]]:
    """Build a resource from plain values, or return all of its faults."""
    label = f"{kind}/{name}"
    if kind not in KINDS:
        message = f"{kind!r} is no kind; give one of {', '.join(KINDS)}"
        return Failure((FieldFault(label, "kind", message),))
    if not isinstance(spec, Mapping):
        return Failure((FieldFault(label, "spec", f"{spec!r} is no mapping; give fields"),))
    try:
        checked = check_fields(KINDS[kind], {**spec, "name": name}, kind)
    except InvalidFieldsError as error:
        return Failure(tuple(FieldFault(label, f.name, f.message) for f in error.faults))
    return Success(KINDS[kind](**checked))


@dataclass(frozen=True)
class ResourceSet:
    """The resources of one configuration, by kind and name."""

    workspaces: Mapping[str, Workspace] = dataclasses.field(default_factory=dict)
    models: Mapping[str, Model] = dataclasses.field(default_factory=dict)
    adapters: Mapping[str, Adapter] = dataclasses.field(default_factory=dict)
    services: Mapping[str, Service] = dataclasses.field(default_factory=dict)
    upstreams: Mapping[str, Upstream] = dataclasses.field(default_factory=dict)
    policies: Mapping[str, Policy] = dataclasses.field(default_factory=dict)
    drains: Mapping[str, Drain] = dataclasses.field(default_factory=dict)

    @property
    def policy(self) -> Policy:
        """The policy in use."""
        return self.policies.get("default", Policy(name="default"))


_FIELD_OF_KIND = {
    "Workspace": "workspaces",
    "Model": "models",
    "Adapter": "adapters",
    "Service": "services",
    "Upstream": "upstreams",
    "Policy": "policies",
    "Drain": "drains",
}


def group_resources(resources: Iterable[Resource]) -> ResourceSet:
    """Group resources by kind."""
    groups: dict[str, dict[str, Any]] = {field: {} for field in _FIELD_OF_KIND.values()}
    for resource in resources:
        groups[_FIELD_OF_KIND[resource.KIND]][resource.name] = resource
    return ResourceSet(**groups)


def find_reference_errors(given: ResourceSet) -> list[FieldFault]:
    """Return the faults between resources: references to undeclared names, conflicting fields."""
    faults: list[FieldFault] = []
    for model in given.models.values():
        if model.version not in model.versions:
            faults.append(_missing(model, "version", model.version, model.versions))
    for adapter in given.adapters.values():
        if adapter.model not in given.models:
            faults.append(_missing(adapter, "model", adapter.model, given.models))
    for service in given.services.values():
        faults.extend(_find_service_faults(service, given))
    for upstream in given.upstreams.values():
        faults.extend(_find_upstream_faults(upstream, given))
    for drain in given.drains.values():
        if drain.name not in given.upstreams:
            faults.append(_missing(drain, "name", drain.name, given.upstreams))
    return faults


def _find_service_faults(service: Service, given: ResourceSet) -> list[FieldFault]:
    faults = []
    if service.type == "model" and service.model not in given.models:
        faults.append(_missing(service, "model", service.model, given.models))
    if service.type == "plain" and (service.model or service.adapter):
        message = f"{service.model or service.adapter!r} on a plain service; remove it"
        faults.append(FieldFault(service.key, "model", message))
    if service.adapter:
        adapter = given.adapters.get(service.adapter)
        if adapter is None:
            faults.append(_missing(service, "adapter", service.adapter, given.adapters))
        elif adapter.model != service.model:
            message = f"{service.adapter!r} belongs to model {adapter.model!r}"
            faults.append(FieldFault(service.key, "adapter", message + "; give one of this model"))
    for name in service.workspaces:
        if name not in given.workspaces:
            faults.append(_missing(service, "workspaces", name, given.workspaces))
    return faults


def _find_upstream_faults(upstream: Upstream, given: ResourceSet) -> list[FieldFault]:
    faults = []
    if upstream.type == "engine" and upstream.model not in given.models:
        faults.append(_missing(upstream, "model", upstream.model, given.models))
    if upstream.type == "plain":
        for name in upstream.services:
            service = given.services.get(name)
            if service is None or service.type != "plain":
                plain = [s.name for s in given.services.values() if s.type == "plain"]
                faults.append(_missing(upstream, "services", name, plain))
    return faults


def _missing(resource: Resource, field: str, value: str, known: Iterable[str]) -> FieldFault:
    choices = ", ".join(sorted(known)) or "nothing declared yet"
    return FieldFault(resource.key, field, f"{value!r} is not declared; known: {choices}")
