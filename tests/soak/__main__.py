"""Runs soak rounds: python -m tests.soak --first 1 --seeds 50 [--hosts 4] [--seconds 6].

With --resets, connections of hosts are reset beside upstreams that fail requests; then --source
names the checkout whose gateways run. With --lost, all hosts are killed at once while software
versions come and leave; with --missed, hosts are cut off or stopped meanwhile.
"""

import asyncio
import signal
import sys
import tempfile
from pathlib import Path

import fire

from tests.soak.lost_rounds import run_lost_round
from tests.soak.missed_rounds import run_missed_round
from tests.soak.processes import CHECKOUT
from tests.soak.reset_rounds import run_reset_round
from tests.soak.rounds import run_round


def run_rounds(
    first=1,
    seeds=10,
    hosts=4,
    seconds=6.0,
    callers=12,
    resets=False,
    lost=False,
    missed=False,
    source=CHECKOUT,
):
    """Run a round per seed and print its findings; the last line lists the failed seeds."""
    # SIGTERM raises KeyboardInterrupt, so that the processes of the round are ended.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    failed = []
    for seed in range(first, first + seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        if resets:
            round_of_seed = run_reset_round(seed, folder, hosts, seconds, callers, source)
        elif lost:
            round_of_seed = run_lost_round(seed, folder, hosts, seconds, callers)
        elif missed:
            round_of_seed = run_missed_round(seed, folder, hosts, seconds, callers)
        else:
            round_of_seed = run_round(seed, folder, hosts, seconds, callers)
        outcome = asyncio.run(round_of_seed)
        counts = f"{outcome.requests} requests, {outcome.served} served"
        counts += f", {outcome.over_quota} over a quota"
        print(f"seed {seed}: {counts}, {len(outcome.faults)} faults", flush=True)
        if lost or missed:
            print(f"  {'; '.join(item for item in outcome.faults if ' ' in item)}", flush=True)
        for finding in outcome.findings[:10]:
            print(f"  {finding}   (logs in {folder})", flush=True)
        if outcome.findings:
            failed.append(seed)
    print(f"{seeds} seeds, failed: {failed or 'none'}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(run_rounds)
