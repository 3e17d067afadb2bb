"""`python -m bench NAME`: runs one benchmark, or those of `make bench`."""

import sys

from bench import (
    capacity,
    configuration,
    division,
    guards,
    limits,
    mix,
    quarantine,
    quotas,
    relay,
    report,
    returns,
    slopes,
)

BENCHES = {
    "capacity": capacity.main,
    "configuration": configuration.main,
    "division": division.main,
    "guards": guards.main,
    "limits": limits.main,
    "mix": mix.main,
    "quarantine": quarantine.main,
    "quotas": quotas.main,
    "relay": relay.main,
    "returns": returns.main,
    "slopes": slopes.main,
}


def main() -> None:
    """Run the benchmarks named on the command line, or all."""
    for name in sys.argv[1:] or list(BENCHES):
        {**BENCHES, "report": report.main}[name]()


if __name__ == "__main__":
    main()
