"""One soak round: starts processes, injects seeded faults under load and checks guarantees."""

import asyncio
import contextlib
import json
import random
from collections import defaultdict
from dataclasses import dataclass

from tests.common.http import RawCaller, ask, write_request
from tests.soak import promises
from tests.soak.callers import STREAMS, CallerSet
from tests.soak.faults import Faults, is_ready
from tests.soak.processes import KEY, REVOKE_MS, ProcessSite

# Seconds until each host must serve each kind of request after the last fault.
RECOVERY_SECONDS = 30


@dataclass(frozen=True)
class Outcome:
    """Violations found in a round, its faults, and its numbers of requests."""

    seed: int
    findings: list[str]
    faults: list[str]
    requests: int
    served: int


async def run_round(seed, folder, hosts=4, seconds=6.0, callers=12):
    """Run one round. Every third seed has planned work only."""
    rng = random.Random(seed)
    site = ProcessSite(folder)
    await site.build(hosts)
    version_watcher = None
    try:
        await wait_for_hosts(site)
        versions = defaultdict(list)
        version_watcher = asyncio.ensure_future(watch_versions(site, versions))
        caller_set = CallerSet(site, rng, callers)
        # Callers draw in an order that depends on timing.
        faults = Faults(site, random.Random(f"faults of {seed}"))
        planned = seed % 3 == 0
        caller_set.start()
        await faults.run(seconds, planned)
        await caller_set.stop()
        findings = list(faults.findings) + await check_recovery(site)
        runs = promises.count_runs(site)
        findings += promises.check_answers(caller_set.observations)
        findings += promises.check_builds(caller_set.observations)
        findings += promises.check_runs(caller_set.observations, runs)
        findings += promises.check_orders(site)
        findings += promises.check_order_origins(site)
        findings += promises.check_versions(versions)
        findings += promises.check_crashes(site.crash_times)
        findings += promises.check_keys(
            caller_set.observations, runs, site.removed_keys, REVOKE_MS / 1000, site.added_keys
        )
        findings += promises.check_workspaces(site, caller_set.observations)
        findings += promises.check_duties(site)
        if planned:
            findings += promises.check_planned(caller_set.observations, runs)
            findings += promises.check_whole(caller_set.observations, runs, faults.exits)
            findings += promises.check_limits(faults.limits)
        served = sum(
            1 for item in caller_set.observations if item.answer and item.answer.status == 200
        )
        return Outcome(seed, findings, faults.log, len(caller_set.observations), served)
    finally:
        if version_watcher is not None:
            version_watcher.cancel()
        await site.close()


async def wait_for_hosts(site):
    for host in site.hosts.values():
        async with asyncio.timeout(RECOVERY_SECONDS):
            while not await is_ready(host):
                await asyncio.sleep(0.05)


async def check_recovery(site):
    """Return a finding for each host and kind of request that is not served again."""
    for upstream in site.initial_upstreams:
        upstream.script.steps.clear()
        upstream.extra_headers, upstream.rest = [], b""
        site.list_upstream(upstream)
    findings = []
    for host in site.hosts.values():
        for kind in ("verdict", "chat", "goal", "card"):
            try:
                async with asyncio.timeout(RECOVERY_SECONDS):
                    await serve_once(host, kind)
            except TimeoutError:
                findings.append(f"{host.name}: {kind} is not served after the faults")
    return findings


async def serve_once(host, kind):
    usage = {"X_Token_Usage": STREAMS[kind]} if kind in STREAMS else {}
    number = 0
    while True:
        number += 1
        with contextlib.suppress(OSError):
            answer = await ask(
                host.callers, f"/{kind}/a", f"end-{host.name}-{number}", X_Key=KEY, **usage
            )
            if answer.status == 200 and answer.whole:
                return
        await asyncio.sleep(0.1)


async def watch_versions(site, versions):
    """Record the configuration versions that each incarnation of each process reports."""
    while True:
        for host in site.hosts.values():
            incarnation = f"{host.name} start {host.starts}"
            with contextlib.suppress(OSError, TimeoutError, ValueError):
                async with asyncio.timeout(0.5):
                    version = await read_version(host)
                if incarnation == f"{host.name} start {host.starts}" and version is not None:
                    versions[incarnation].append(version)
        await asyncio.sleep(0.1)


async def read_version(host):
    caller = await RawCaller.connect(host.ops_address)
    caller.send(write_request("/debug/state", "state", method="GET"))
    try:
        answer = await caller.read_answer()
    finally:
        caller.close()
    return json.loads(answer.body)["version"] if answer.status == 200 else None
