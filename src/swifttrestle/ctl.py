"""`swifttrestle-ctl`: declares resources and shows their status."""

import hashlib
import sys
import time
from collections.abc import Iterator
from dataclasses import fields
from pathlib import Path
from typing import Any

import fire
import orjson
import urllib3
import yaml

from swifttrestle.errors import (
    ConflictError,
    InvalidResourceError,
    InvalidSettingError,
    NotFoundError,
    SwifttrestleError,
)
from swifttrestle.internal.clock import read_boottime_seconds
from swifttrestle.internal.coordination.pools.actors import STATUS
from swifttrestle.internal.coordination.store.conditional_writes import (
    read_or_none,
    strip_nonce,
    write_once,
)
from swifttrestle.internal.duty_report import describe_duties
from swifttrestle.internal.explanation import explain_request, read_log_lines
from swifttrestle.internal.protocol.platform import RestObjectApi, StoredObject
from swifttrestle.internal.quota_report import QUOTA_STATUS, describe_quotas, read_quota_report
from swifttrestle.internal.resource_files import Document, read_documents
from swifttrestle.internal.settings import ENV_PREFIX, check_platform, read_environment
from swifttrestle.internal.transport.http import make_client
from swifttrestle.internal.validated_fields import format_default
from swifttrestle.resources import KINDS, find_reference_errors, group_resources, parse_resource

OUTPUTS = ("table", "yaml", "json")
EXIT_FAILURE = 1
POLL_INTERVAL_SECONDS = 0.2


class Ctl:
    """Declare resources in the platform's object API and read their status.

    --platform or SWIFTTRESTLE_PLATFORM gives the address of the object API,
    SWIFTTRESTLE_PLATFORM_KEY its key.

    Examples:
      swifttrestle-ctl apply examples/association
      swifttrestle-ctl diff examples/association
      swifttrestle-ctl status
    """

    def __init__(self, platform: str = "", who: str = "operator") -> None:
        """Use the object API as `who`."""
        env = read_environment()
        base = platform or env.get(ENV_PREFIX + "PLATFORM", "http://127.0.0.1:7000")
        try:
            checked = check_platform(base)
        except ValueError as error:
            raise InvalidSettingError(f"--platform: {error}") from None
        self._api = RestObjectApi(checked, who, env.get(ENV_PREFIX + "PLATFORM_KEY", ""))

    def apply(self, *paths: str, wait: float = 0) -> None:
        """Write the resources of files and folders; an invalid file changes nothing.

        With --wait=SECONDS it returns once all are accepted and in force at every entry.

        Example: swifttrestle-ctl apply examples/trust --wait=30
        """
        documents = read_documents(paths)
        current = {d.key: read_or_none(self._api, d.kind, d.name) for d in documents}
        self._check_references(documents)
        self._check_versions(documents, current)
        written: dict[str, int] = {}
        for document in documents:
            before = current[document.key]
            if before is not None and strip_nonce(before) == document.spec:
                _print_line(f"{document.key} unchanged")
                continue
            version = before.version if before else 0
            try:
                stored = write_once(self._api, document.kind, document.name, document.spec, version)
            except ConflictError:
                raise ConflictError(
                    f"{document.key} was changed by another writer meanwhile; "
                    "see `diff`, then apply again"
                ) from None
            written[document.key] = stored.version
            _print_line(f"{document.key} {'changed' if before else 'created'}")
        if wait:
            self._wait_in_force(documents, wait)

    def diff(self, *paths: str) -> None:
        """Show how files differ from the stored resources; nothing is written.

        Example: swifttrestle-ctl diff examples/association
        """
        for document in read_documents(paths):
            stored = read_or_none(self._api, document.kind, document.name)
            before = strip_nonce(stored) if stored else {}
            for field in sorted({*before, *document.spec}):
                old, new = before.get(field), document.spec.get(field)
                if old != new:
                    _print_line(f"{document.key} {field}: {old!r} -> {new!r}")

    def explain_request(self, request_id: str, logs: str) -> None:
        """Show the timeline of a request, from a folder with the gateways' logs.

        Example: swifttrestle-ctl explain-request 74947cc48ea21ecb --logs=logs
        """
        folder = Path(logs)
        if not folder.is_dir():
            raise InvalidSettingError(f"--logs: {logs!r} is not a folder; give one with log files")
        for line in explain_request(read_log_lines(folder), str(request_id)):
            _print_line(line)

    def get(self, kind: str, name: str = "", output: str = "table") -> None:
        """Show resources of a kind, as table, yaml (to edit and apply) or json.

        Example: swifttrestle-ctl get Upstream --output=yaml
        """
        _check_kind(kind)
        if output not in OUTPUTS:
            raise InvalidSettingError(f"--output: {output!r}; give one of {', '.join(OUTPUTS)}")
        if name:
            found: tuple[StoredObject, ...] = (self._api.read(kind, name),)
        else:
            found = self._api.list(kind).items
        plain = [
            {"kind": i.kind, "name": i.name, "version": i.version, "spec": strip_nonce(i)}
            for i in sorted(found, key=lambda i: i.name)
        ]
        if output == "json":
            _print_line(orjson.dumps(plain, option=orjson.OPT_INDENT_2).decode())
        elif output == "yaml":
            _print_line(yaml.safe_dump_all(plain, sort_keys=False).rstrip())
        else:
            for line in _make_table(plain):
                _print_line(line)

    def watch(self, kind: str, count: int = 0) -> None:
        """Print each change of a kind as it happens; --count=N ends after N changes.

        Example: swifttrestle-ctl watch Status
        """
        if kind != STATUS:
            _check_kind(kind)
        printed = 0
        for event in self._api.watch((kind,), self._api.list(kind).version):
            if event.stored is None:
                continue
            verb = "deleted" if event.deleted else "changed"
            _print_line(
                f"{event.stored.kind}/{event.stored.name} {verb} {strip_nonce(event.stored)}"
            )
            printed += 1
            if count and printed >= count:
                return

    def explain(self, kind: str = "") -> None:
        """Show the fields of a kind, or all kinds.

        Example: swifttrestle-ctl explain Service
        """
        if not kind:
            for each in KINDS.values():
                _print_line(f"{each.KIND}: {(each.__doc__ or '').splitlines()[0]}")
            return
        _check_kind(kind)
        _print_line(f"{kind}: {(KINDS[kind].__doc__ or '').splitlines()[0]}")
        for item in fields(KINDS[kind]):
            _print_line(f"  {item.name} ({format_default(item)})")
            _print_line(f"      {item.metadata['doc']}")

    def status(self) -> None:
        """Show the accepted configuration, how many entries have it in force, and each pool.

        For each workspace with a quota: the limit, what was admitted and refused in the last
        window, and the entries that report it.

        Example: swifttrestle-ctl status
        """
        for stored in sorted(self._api.list(STATUS).items, key=lambda item: item.name):
            for line in _format_status(stored.name, strip_nonce(stored)):
                _print_line(line)
        for line in self._describe_quotas():
            _print_line(line)

    def drain(self, upstream: str) -> None:
        """Give an upstream no new work until `undrain`.

        Example: swifttrestle-ctl drain hall-a-engine-1
        """
        self._declare_drain(upstream, "drain")

    def withdraw(self, upstream: str) -> None:
        """Take an upstream out of use permanently; `status` shows when it is idle.

        Example: swifttrestle-ctl withdraw hall-a-engine-1
        """
        self._declare_drain(upstream, "withdraw")

    def undrain(self, upstream: str) -> None:
        """Let a drained upstream take work again.

        Example: swifttrestle-ctl undrain hall-a-engine-1
        """
        stored = self._api.read("Drain", upstream)
        self._api.delete("Drain", upstream, stored.version)
        _print_line(f"Drain/{upstream} deleted")

    def delete(self, kind: str, name: str) -> None:
        """Delete a resource; it stays accepted while another one refers to it.

        Example: swifttrestle-ctl delete Service old-chat
        """
        _check_kind(kind)
        stored = self._api.read(kind, name)
        self._api.delete(kind, name, stored.version)
        _print_line(f"{kind}/{name} deleted")

    def dump(self, ops: str) -> None:
        """Print the state of one process, given its operators' address.

        Example: swifttrestle-ctl dump 127.0.0.1:9090
        """
        _print_line(orjson.dumps(_read_state(ops), option=orjson.OPT_INDENT_2).decode())

    def duties(self, ops: str) -> None:
        """Show capacity and usage as known to the gateway at an operators' address.

        For each service and zone: the running and the planned upstreams and the price per second.
        For each usage window: its state and the requests of each workspace. Only the host that
        holds the duties knows all of it; other hosts show that host's name.

        Example: swifttrestle-ctl duties 10.1.0.35:9464
        """
        state = _read_state(ops)
        if "duties" not in state:
            raise InvalidSettingError(f"ops: {ops!r} is not a gateway; give the address of one")
        for line in describe_duties(state["duties"]):
            _print_line(line)

    def hash(self, key: str) -> None:
        """Print the digest of a caller's key, for a Workspace resource.

        Example: swifttrestle-ctl hash "$KEY"
        """
        _print_line(hashlib.sha256(str(key).encode()).hexdigest())

    def _describe_quotas(self) -> Iterator[str]:
        parsed = [
            parse_resource("Workspace", item.name, strip_nonce(item)).value_or(None)
            for item in self._api.list("Workspace").items
        ]
        workspaces = group_resources(item for item in parsed if item is not None).workspaces
        declared = {
            name: item.quota
            for name, item in workspaces.items()
            if item.quota and item.quota.rate_per_s
        }
        reports = {
            item.name: read_quota_report(item.spec) for item in self._api.list(QUOTA_STATUS).items
        }
        return describe_quotas(declared, reports, time.time())

    def _declare_drain(self, upstream: str, mode: str) -> None:
        self._api.read("Upstream", upstream)
        stored = read_or_none(self._api, "Drain", upstream)
        version = stored.version if stored else 0
        write_once(self._api, "Drain", upstream, {"mode": mode}, version)
        _print_line(f"Drain/{upstream} {mode}")

    def _check_references(self, documents: list[Document]) -> None:
        """Validate the files together with the stored resources, before any write."""
        merged = {}
        for kind in KINDS:
            for item in self._api.list(kind).items:
                merged[f"{kind}/{item.name}"] = (kind, item.name, strip_nonce(item))
        merged |= {d.key: (d.kind, d.name, d.spec) for d in documents}
        parsed = [parse_resource(*parts).value_or(None) for parts in merged.values()]
        faults = find_reference_errors(
            group_resources(resource for resource in parsed if resource is not None)
        )
        paths = {document.key: document.path for document in documents}
        errors = [
            f"{paths[fault.resource]}: {fault}" for fault in faults if fault.resource in paths
        ]
        if errors:
            raise InvalidResourceError("\n".join(errors))

    def _check_versions(
        self, documents: list[Document], current: dict[str, StoredObject | None]
    ) -> None:
        for document in documents:
            if document.version is None:
                continue
            stored = current[document.key]
            found = stored.version if stored else 0
            if found != document.version:
                raise ConflictError(
                    f"{document.path}: {document.key} was read at version {document.version} "
                    f"and is at version {found} now; get it again, then edit and apply"
                )

    def _wait_in_force(self, documents: list[Document], seconds: float) -> None:
        deadline = read_boottime_seconds() + seconds
        wanted = {d.key: parse_resource(d.kind, d.name, d.spec).unwrap().spec() for d in documents}
        while read_boottime_seconds() < deadline:
            if self._is_in_force(wanted):
                _print_line("accepted and in force at every entry")
                return
            time.sleep(POLL_INTERVAL_SECONDS)
        raise InvalidResourceError(f"not in force everywhere after {seconds:g} s; see `status`")

    def _is_in_force(self, wanted: dict[str, dict]) -> bool:
        accepted: dict[str, Any] = {}
        epochs = {}
        for shard in self._api.list("Accepted").items:
            epochs[shard.name] = shard.spec["epoch"]
            for item in shard.spec["resources"]:
                accepted[f"{item['kind']}/{item['name']}"] = item["spec"]
        if any(accepted.get(key) != spec for key, spec in wanted.items()):
            return False
        try:
            status = self._api.read(STATUS, "config").spec
        except NotFoundError:
            return False
        in_force = status["in_force"]
        return status["epochs"] == epochs and all(
            in_force.get(shard) == status["entries"] for shard in epochs
        )


def _check_kind(kind: str) -> None:
    if kind not in KINDS:
        raise InvalidResourceError(f"{kind!r} is no kind; give one of {', '.join(KINDS)}")


def _read_state(ops: str) -> Any:
    """Return the state dump of one process, given its operators' address."""
    response = make_client(5.0).request("GET", f"http://{ops}/debug/state")
    return orjson.loads(response.data)


def _print_line(line: str) -> None:
    sys.stdout.write(line + "\n")
    sys.stdout.flush()


def _make_table(items: list[dict]) -> Iterator[str]:
    yield f"{'NAME':<32} {'VERSION':<8} SPEC"
    for item in items:
        fields = " ".join(f"{key}={_shorten(value)}" for key, value in item["spec"].items())
        yield f"{item['name']:<32} {item['version']:<8} {fields}"


def _shorten(value: Any) -> str:
    if isinstance(value, list):
        return ",".join(str(item)[:16] for item in value)
    return str(value)


def _format_status(name: str, status: dict) -> Iterator[str]:
    if name == "config":
        entries = status["entries"]
        for shard, epoch in sorted(status["epochs"].items()):
            count = status["in_force"].get(shard, 0)
            yield f"config {shard}: epoch {epoch}, in force on {count} of {entries} entries"
        for fault in status["not_accepted"]:
            yield f"not accepted: {fault['resource']}: {fault['field']}: {fault['message']}"
        return
    yield f"{name}: held by {status['holder']}, token {status['token']}"
    for engine, view in sorted(status["engines"].items()):
        holding = view["holding"] or {}
        held = f"{holding.get('model') or '-'}@{holding.get('version') or '-'}"
        yield f"  {engine}: {held} {holding.get('role', '')} {view['reason']}"


def main() -> None:
    """Run the console script; an error is printed as one message and exits with status 1."""
    try:
        fire.Fire(Ctl, name="swifttrestle-ctl")
    except SwifttrestleError as error:
        sys.stderr.write(f"swifttrestle-ctl: {error}\n")
        sys.exit(EXIT_FAILURE)
    except urllib3.exceptions.HTTPError as error:
        sys.stderr.write(
            f"swifttrestle-ctl: {type(error).__name__}: no response; check the address\n"
        )
        sys.exit(EXIT_FAILURE)
