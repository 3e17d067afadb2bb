"""Goodput, alerts and role changes under a changing request mix: policies against baselines.

`python -m bench mix` prints a table and writes a report with a plot. Runs are determined by their
seed, so tests can bound the figures.
"""

import random
import statistics
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from bench.model import ModelEngine, ModelRun, Policies, Request
from swifttrestle.internal.policy.admission import AdmitAll, DeadlineAdmission
from swifttrestle.internal.policy.roles import CostAwareRoles, FixedRoles, ThresholdRoles
from swifttrestle.internal.policy.routing import (
    LeastPredicted,
    LeastReported,
    RequestEstimate,
    RoundRobin,
)
from swifttrestle.resources import Policy

RUN_SECONDS = 120.0
# Seconds between two changes of the request mix.
MIX_CHANGE_SECONDS = 20.0
# Seconds for which a run continues after the last arrival.
TAIL_SECONDS = 30.0
ENTRIES = 4
LOADS = (0.5, 0.75, 1.0, 1.25, 1.5)
SEEDS = (1, 2, 3)
REPORTS = Path(__file__).parent / "reports"


@dataclass(frozen=True)
class Kind:
    """A kind of requests: mean tokens, deadline in seconds, and documents that prompts share."""

    name: str
    prompt: int
    output: int
    deadline: float
    documents: int
    shared: float
    priority: str = "normal"


@dataclass(frozen=True)
class Deployment:
    """A fleet and its request mix; `rate` is its approximate capacity in requests per second."""

    name: str
    speeds: tuple[float, ...]
    rate: float
    long: Kind
    short: Kind
    alert: Kind
    role_change_weight: float


ASSOCIATION = Deployment(
    "association match day",
    (1.0, 1.0, 1.0, 1.0, 0.5, 0.5),
    34.0,
    Kind("summary", 4000, 4, 8.0, 40, 0.7),
    Kind("chat", 200, 100, 20.0, 5, 0.5),
    Kind("alert", 60, 16, 1.5, 1, 0.0, "urgent"),
    0.2,
)
TRUST = Deployment(
    "trust weather day",
    (1.0, 1.0, 0.5, 0.5, 0.5, 0.5),
    27.0,
    Kind("judgement", 6000, 8, 12.0, 25, 0.8),
    Kind("note", 150, 80, 30.0, 5, 0.5),
    Kind("warning", 60, 12, 1.5, 1, 0.0, "urgent"),
    0.8,
)

POLICIES = {
    "round robin": Policies(RoundRobin, AdmitAll, FixedRoles),
    "least reported": Policies(LeastReported, AdmitAll, FixedRoles),
    "least reported, threshold roles": Policies(LeastReported, AdmitAll, ThresholdRoles),
    "predicted, admit all": Policies(LeastPredicted, AdmitAll, FixedRoles),
    "in use": Policies(LeastPredicted, lambda: DeadlineAdmission(0.15), FixedRoles),
    "in use, planned roles": Policies(
        LeastPredicted, lambda: DeadlineAdmission(0.15), CostAwareRoles
    ),
}
IN_USE = "in use"
BASELINES = ("round robin", "least reported", "least reported, threshold roles")


@dataclass(frozen=True)
class Outcome:
    """Figures of one run; goodput is the number of answers in time per second."""

    goodput: float
    offered: float
    alert_misses: int
    alerts: int
    alert_p50: float
    alert_p99: float
    role_changes: int
    retries: int
    shed: int
    hit_share: float


def make_trace(deployment: Deployment, load: float, seed: int) -> list[Request]:
    """Return the requests of a run; the mix alternates between long and short prompts."""
    rng = random.Random(seed)
    trace: list[Request] = []
    at = 0.0
    while True:
        at += rng.expovariate(deployment.rate * load)
        if at >= RUN_SECONDS:
            return trace
        phase = int(at / MIX_CHANGE_SECONDS) % 2
        share = 0.75 if phase == 0 else 0.1
        kind = deployment.long if rng.random() < share else deployment.short
        if rng.random() < 0.06:
            kind = deployment.alert
        trace.append(_make_request(kind, at, rng))


def _make_request(kind: Kind, at: float, rng: random.Random) -> Request:
    prompt = max(16, int(kind.prompt * rng.uniform(0.6, 1.4)))
    output = max(2, int(kind.output * rng.uniform(0.5, 1.5)))
    blocks = prompt // 32
    document = rng.randrange(kind.documents)
    common = int(blocks * kind.shared)
    base = _make_block_base(kind.name, document)
    own = rng.getrandbits(30)
    block_ids = [base + n for n in range(common)] + [own * 4096 + n for n in range(blocks - common)]
    work = RequestEstimate(prompt, output, kind.priority)
    return Request(kind.name, work, kind.deadline, tuple(block_ids), at)


def _make_block_base(name: str, document: int) -> int:
    return (sum(name.encode()) * 1000 + document) * 100_000


def run_once(
    deployment: Deployment, label: str, load: float, seed: int
) -> tuple[Outcome, ModelRun]:
    """Simulate one trace under one set of policies."""
    engines = [ModelEngine(f"e{n}", speed) for n, speed in enumerate(deployment.speeds)]
    policy = Policy(
        name="default", role_change_weight=deployment.role_change_weight, role_dwell_seconds=30
    )
    run = ModelRun(engines, POLICIES[label], policy, seed, ENTRIES)
    done = run.run(make_trace(deployment, load, seed), RUN_SECONDS + TAIL_SECONDS)
    return _summarize(deployment, run, done), run


def _summarize(deployment: Deployment, run: ModelRun, done: list[Request]) -> Outcome:
    alerts = [request for request in done if request.kind == deployment.alert.name]
    latencies = sorted((r.done_at - r.at) if r.done_at else 99.0 for r in alerts)
    prompts = sum(r.work.prompt_tokens for r in done if r.outcome == "done")
    return Outcome(
        sum(1 for request in done if request.in_time) / RUN_SECONDS,
        len(done) / RUN_SECONDS,
        sum(1 for request in alerts if not request.in_time),
        len(alerts),
        latencies[len(latencies) // 2],
        latencies[int(len(latencies) * 0.99)],
        run.role_changes,
        run.retries,
        sum(1 for request in done if request.outcome == "shed"),
        sum(e.hit_tokens for e in run.engines.values()) / max(1, prompts),
    )


def run_all(deployment: Deployment) -> dict[tuple[str, float], list[Outcome]]:
    """Run every set of policies at every load and seed."""
    keys = [(label, load) for label in POLICIES for load in LOADS]
    with ProcessPoolExecutor(6) as workers:
        tasks = {
            key: [workers.submit(measure_once, deployment, *key, seed) for seed in SEEDS]
            for key in keys
        }
        return {key: [task.result() for task in found] for key, found in tasks.items()}


def measure_once(deployment: Deployment, label: str, load: float, seed: int) -> Outcome:
    """Simulate one trace and return only its figures."""
    return run_once(deployment, label, load, seed)[0]


def write_table(deployment: Deployment, found: dict[tuple[str, float], list[Outcome]]) -> str:
    """Return a Markdown table of medians over the seeds, and the range of goodput."""
    lines = [
        f"## {deployment.name}",
        "",
        "| policies | load | goodput/s (min-max) | offered/s | alert misses | alert p50 s | "
        "alert p99 s | role changes | retries | shed | prefix hits |",
        "|---|---|---|---|---|---|---|---|---|---|---|",
    ]
    for (label, load), outcomes in found.items():
        goodputs = [outcome.goodput for outcome in outcomes]

        def find_median(name: str, outcomes: list[Outcome] = outcomes) -> float:
            return statistics.median(getattr(outcome, name) for outcome in outcomes)

        misses = sum(outcome.alert_misses for outcome in outcomes)
        alerts = sum(outcome.alerts for outcome in outcomes)
        lines.append(
            f"| {label} | {load:g} | {statistics.median(goodputs):.1f} "
            f"({min(goodputs):.1f}-{max(goodputs):.1f}) | {find_median('offered'):.1f} | "
            f"{misses}/{alerts} | {find_median('alert_p50'):.2f} | "
            f"{find_median('alert_p99'):.2f} | {find_median('role_changes'):g} | "
            f"{find_median('retries'):g} | {find_median('shed'):g} | "
            f"{find_median('hit_share'):.2f} |"
        )
    return "\n".join(lines) + "\n"


def draw_plot(found: dict[str, dict[tuple[str, float], list[Outcome]]], path: Path) -> None:
    """Plot goodput over load, one panel per deployment."""
    import matplotlib as mpl

    mpl.use("Agg")
    from matplotlib import pyplot

    figure, panels = pyplot.subplots(1, len(found), figsize=(12, 4.5), sharey=True)
    for panel, (name, outcomes) in zip(panels, found.items(), strict=True):
        for label in POLICIES:
            medians = [
                statistics.median(o.goodput for o in outcomes[label, load]) for load in LOADS
            ]
            panel.plot(LOADS, medians, marker="o", label=label)
        panel.set_title(name)
        panel.set_xlabel("load as a share of capacity")
    panels[0].set_ylabel("complete answers in time, per second")
    panels[0].legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=90)


def main() -> None:
    """Run both deployments and write the report."""
    REPORTS.mkdir(exist_ok=True)
    found = {deployment.name: run_all(deployment) for deployment in (ASSOCIATION, TRUST)}
    tables = [
        write_table(deployment, found[deployment.name]) for deployment in (ASSOCIATION, TRUST)
    ]
    text = (
        "# Goodput under a changing request mix\n\n"
        f"Seeds {SEEDS}, {RUN_SECONDS:g} s a run, the mix changes every {MIX_CHANGE_SECONDS:g} s; "
        "medians over the seeds. Made by `python -m bench mix`.\n\n" + "\n".join(tables)
    )
    (REPORTS / "mix.md").write_text(text + "\n![goodput over load](mix.png)\n")
    draw_plot(found, REPORTS / "mix.png")
    print(text)
