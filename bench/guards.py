"""Goodput while some engines fail and recover, with each guard against failures on and off.

Guards: retry budget, capped ejection, slow re-admission, and busy engines not counted as failed.
"""

import statistics
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from bench.mix import ASSOCIATION, POLICIES, RUN_SECONDS, SEEDS, TAIL_SECONDS, make_trace
from bench.model import Guards, ModelEngine, ModelRun, Policies
from swifttrestle.internal.policy.admission import AdmitAll
from swifttrestle.internal.policy.roles import FixedRoles
from swifttrestle.internal.policy.routing import LeastPredicted
from swifttrestle.resources import Policy

# Times at which the engines fail and recover, in seconds from the start of a run.
BREAK_SECONDS, REPAIR_SECONDS = 40.0, 80.0
BROKEN = ("e0", "e1")
LOADS = (0.75, 1.0)


@dataclass(frozen=True)
class Case:
    """One set of guards; `admit_all` also disables the capacity check of admission."""

    label: str
    guards: Guards
    cap: float = 0.34
    return_seconds: float = 10.0
    admit_all: bool = False


CASES = (
    Case("all on", Guards()),
    Case("no retry budget", Guards(retry_budget=False)),
    Case("no ejection", Guards(ejection=False)),
    Case("no cap", Guards(), cap=1.0),
    Case("no slow re-admission", Guards(), return_seconds=0.0),
    Case("admit all, busy is not broken", Guards(), admit_all=True),
    Case("admit all, busy is broken", Guards(busy_is_not_broken=False), admit_all=True),
    Case("admit all, busy is broken, no cap", Guards(busy_is_not_broken=False), 1.0, 10.0, True),
)


def run_case(case: Case, load: float, seed: int) -> tuple[float, float, float, int, int]:
    """Return goodput per second before, during and after the fault, retries and alert misses."""
    engines = [ModelEngine(f"e{n}", speed) for n, speed in enumerate(ASSOCIATION.speeds)]
    policy = Policy(name="default", ejection_cap=case.cap, return_seconds=case.return_seconds)
    admit_all_policies = Policies(LeastPredicted, AdmitAll, FixedRoles)
    policies = admit_all_policies if case.admit_all else POLICIES["in use"]
    run = ModelRun(engines, policies, policy, seed, 4)
    run.guards = case.guards
    start = run.clock.time
    run.broken = {name: (start + BREAK_SECONDS, start + REPAIR_SECONDS) for name in BROKEN}
    done = run.run(make_trace(ASSOCIATION, load, seed), RUN_SECONDS + TAIL_SECONDS)

    def goodput(first: float, last: float) -> float:
        chosen = [r for r in done if first <= r.at - start < last]
        return sum(1 for r in chosen if r.in_time) / (last - first)

    misses = sum(1 for r in done if r.kind == "alert" and not r.in_time)
    return (
        goodput(0, BREAK_SECONDS),
        goodput(BREAK_SECONDS, REPAIR_SECONDS),
        goodput(REPAIR_SECONDS, RUN_SECONDS),
        run.retries,
        misses,
    )


def main() -> None:
    """Print the table: medians over the seeds, and the sum of misses."""
    print("| guards | load | goodput before | during | after | retries | alert misses |")
    print("|---|---|---|---|---|---|---|")
    with ProcessPoolExecutor(6) as workers:
        tasks = [
            (case, load, [workers.submit(run_case, case, load, seed) for seed in SEEDS])
            for load in LOADS
            for case in CASES
        ]
        for case, load, found in tasks:
            rows = [task.result() for task in found]
            before, during, after, retries, _ = (
                statistics.median(row[i] for row in rows) for i in range(5)
            )
            print(
                f"| {case.label} | {load:g} | {before:.1f} | {during:.1f} | {after:.1f} | "
                f"{retries:g} | {sum(row[4] for row in rows)} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
