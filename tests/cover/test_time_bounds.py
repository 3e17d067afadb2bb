"""Worst-case delays of each promised time bound, summed from the constants in the code."""

import re
from pathlib import Path

import pytest

from swifttrestle.internal.coordination.configuration import (
    configuration,
    exchange,
    freshness_monitor,
)
from swifttrestle.internal.coordination.discovery import discovery, removals
from swifttrestle.internal.coordination.membership import gossip
from swifttrestle.internal.coordination.sharing import quarantine_relay
from swifttrestle.internal.forward import crash_detection
from swifttrestle.internal.policy import revocation
from swifttrestle.internal.policy.backoff import find_max_backoff
from swifttrestle.internal.state import peers
from swifttrestle.internal.transport import dialer
from swifttrestle.platform import store

# Longest response time of the store, and longest delay of a datagram between two hosts including
# the receiver's event loop, in seconds.
SLOW_STORE_SECONDS = 0.4
DATAGRAM_SECONDS = 0.1
# Promised bounds in seconds, for fleets of up to 16 hosts ("small") and larger ones: until a
# draining instance gets no more work, until a version is in force, and the time for which the store
# and the network must have worked before.
DRAINING_SECONDS = {"small": 2.0, "large": 3.0}
IN_FORCE_SECONDS = {"small": 2.0, "large": 3.0}
STEADY_SECONDS = {"small": 3.0, "large": 4.0}
# Seconds for which requests may still arrive after a refusal with Retry-After.
IN_FLIGHT_SECONDS = 0.5
# A large version, uncompressed and as a copy between hosts, in bytes, and the slowest link in bytes
# per second.
VERSION_BYTES, COPY_BYTES = 1_060_000, 130_000
SLOW_LINK_BYTES_PER_SECOND = 5e6 / 8
# Share of that link used by callers' requests.
REQUESTS_SHARE = 0.3

# Seconds after the third crash of a request until it is quarantined on nearly all hosts.
QUARANTINE_SECONDS = 3.0

FIRST_BACKOFF_SECONDS = find_max_backoff(discovery.FIRST_BACKOFF_SECONDS)
MAX_BACKOFF_SECONDS = find_max_backoff(discovery.MAX_BACKOFF_SECONDS)
LIST_SECONDS = dialer.CONNECT_TIMEOUT_SECONDS + SLOW_STORE_SECONDS
HEARTBEAT_SECONDS = gossip.HEARTBEAT_SECONDS * 1.1
# A host notices a recovered store by: its last failed call, its backoff and its next call.
NOTICE_SECONDS = store.READ_TIMEOUT_SECONDS + MAX_BACKOFF_SECONDS + LIST_SECONDS
REMOVAL_HOLD_SECONDS = removals.REREGISTRATION_SECONDS + removals.POLL_SECONDS
# A host that lost a connection finds that the upstream's address refuses connections.
CRASH_DETECTION_SECONDS = crash_detection.PROBE_DELAY_SECONDS + DATAGRAM_SECONDS
PUSH_SECONDS = quarantine_relay.PUSH_SECONDS
# The bound until a revoked key is refused, the age of a confirmation beyond which all keys are
# refused, and the longest intervals between confirmations.
KEYS_BOUND_SECONDS = 5.0
MAX_CONFIRMATION_AGE_SECONDS = KEYS_BOUND_SECONDS - revocation.CLOCK_MARGIN_SECONDS
MAX_JITTER_FACTOR = 1 + freshness_monitor.JITTER_SHARE / 2
READ_INTERVAL_SECONDS = (
    KEYS_BOUND_SECONDS * freshness_monitor.READ_INTERVAL_SHARE * MAX_JITTER_FACTOR
)
QUERY_INTERVAL_SECONDS = (
    KEYS_BOUND_SECONDS * freshness_monitor.QUERY_INTERVAL_SHARE * MAX_JITTER_FACTOR
)
QUERY_SECONDS = 2 * DATAGRAM_SECONDS
WIDENED_SECONDS = KEYS_BOUND_SECONDS * freshness_monitor.WIDEN_AGE_SHARE
SILENT_WATCH_SECONDS = discovery.WATCH_SECONDS + store.WATCH_MARGIN_SECONDS


def read_over_slow_link(size):
    return size / (SLOW_LINK_BYTES_PER_SECOND * (1 - REQUESTS_SHARE))


# By promise and fault: seconds until all hosts act on a change, and the promised bound. The keys
# are the first column of the table in docs/INVARIANTS.md, which explains them.
SUMS = {
    "draining: nothing": (
        discovery.MIN_CALL_INTERVAL_SECONDS + SLOW_STORE_SECONDS,
        DRAINING_SECONDS["small"],
    ),
    "draining: the watch is reset": (
        FIRST_BACKOFF_SECONDS + LIST_SECONDS,
        DRAINING_SECONDS["small"],
    ),
    "draining: connections become silent": (
        # All idle connections are dropped with the first silent one, and one list call follows.
        SILENT_WATCH_SECONDS + FIRST_BACKOFF_SECONDS + SLOW_STORE_SECONDS,
        STEADY_SECONDS["small"],
    ),
    "draining: the store was unreachable for one host": (
        NOTICE_SECONDS + removals.POLL_SECONDS,
        STEADY_SECONDS["small"],
    ),
    "draining: the store was unreachable for all hosts": (
        NOTICE_SECONDS + REMOVAL_HOLD_SECONDS,
        STEADY_SECONDS["small"] + DRAINING_SECONDS["small"],
    ),
    "draining: the store has discarded its history": (
        discovery.MIN_CALL_INTERVAL_SECONDS / 2 + LIST_SECONDS,
        DRAINING_SECONDS["small"],
    ),
    "draining: the store was restored": (
        FIRST_BACKOFF_SECONDS + LIST_SECONDS,
        DRAINING_SECONDS["small"],
    ),
    "draining: the store was restored, and connections stayed open": (
        # The earlier watch ends without an event.
        discovery.WATCH_SECONDS + 2 * SLOW_STORE_SECONDS,
        STEADY_SECONDS["small"],
    ),
    "draining, relayed: nothing": (
        discovery.MIN_CALL_INTERVAL_SECONDS + SLOW_STORE_SECONDS + DATAGRAM_SECONDS,
        DRAINING_SECONDS["large"],
    ),
    "draining, relayed: a datagram is lost": (
        # The next datagram repeats its changes.
        2 * (discovery.MIN_CALL_INTERVAL_SECONDS + SLOW_STORE_SECONDS) + DATAGRAM_SECONDS,
        DRAINING_SECONDS["large"],
    ),
    "draining, relayed: both relaying hosts have failed": (
        discovery.RELAY_TIMEOUT_SECONDS + LIST_SECONDS + DATAGRAM_SECONDS,
        DRAINING_SECONDS["large"],
    ),
    "draining, relayed: connections become silent": (
        discovery.MIN_CALL_INTERVAL_SECONDS
        + discovery.RELAYING_WATCH_SECONDS
        + store.WATCH_MARGIN_SECONDS
        + FIRST_BACKOFF_SECONDS
        + SLOW_STORE_SECONDS
        + DATAGRAM_SECONDS,
        STEADY_SECONDS["large"],
    ),
    "draining, relayed: the store was unreachable for all hosts": (
        NOTICE_SECONDS + REMOVAL_HOLD_SECONDS + DATAGRAM_SECONDS,
        STEADY_SECONDS["large"] + DRAINING_SECONDS["large"],
    ),
    "draining, relayed: the store was restored": (
        FIRST_BACKOFF_SECONDS
        + LIST_SECONDS
        + DATAGRAM_SECONDS
        + discovery.RESTORE_SPREAD_SECONDS
        + LIST_SECONDS,
        DRAINING_SECONDS["large"],
    ),
    "draining, relayed: the store was restored, and connections stayed open": (
        discovery.MIN_CALL_INTERVAL_SECONDS
        + 2 * SLOW_STORE_SECONDS
        + DATAGRAM_SECONDS
        + discovery.RESTORE_SPREAD_SECONDS
        + LIST_SECONDS,
        DRAINING_SECONDS["large"],
    ),
    "in force: the store was restored": (
        FIRST_BACKOFF_SECONDS + LIST_SECONDS,
        IN_FORCE_SECONDS["small"],
    ),
    "in force: the store was restored, and connections stayed open": (
        # The watch of the list ends first and reveals the restore.
        discovery.WATCH_SECONDS
        + SLOW_STORE_SECONDS
        + discovery.RESTORE_SPREAD_SECONDS
        + SLOW_STORE_SECONDS,
        STEADY_SECONDS["small"],
    ),
    "in force: nothing": (SLOW_STORE_SECONDS, IN_FORCE_SECONDS["small"]),
    "in force: the watch is reset": (
        FIRST_BACKOFF_SECONDS + LIST_SECONDS,
        IN_FORCE_SECONDS["small"],
    ),
    "in force: a host cannot reach the store": (
        HEARTBEAT_SECONDS + DATAGRAM_SECONDS + exchange.CONFIG_WAIT_SECONDS + DATAGRAM_SECONDS,
        IN_FORCE_SECONDS["small"],
    ),
    "in force, large version on a slow link: a peer has it": (
        SLOW_STORE_SECONDS
        + gossip.LARGE_FLEET_REPORT_SECONDS
        + DATAGRAM_SECONDS
        + exchange.CONFIG_WAIT_SECONDS
        + read_over_slow_link(COPY_BYTES),
        IN_FORCE_SECONDS["large"],
    ),
    "in force, large version on a slow link: no peer has it": (
        SLOW_STORE_SECONDS + read_over_slow_link(VERSION_BYTES),
        IN_FORCE_SECONDS["large"],
    ),
    # A connection that is being established when the signal arrives still gets a request.
    "draining, by its responses: a connection is being established": (
        dialer.CONNECT_TIMEOUT_SECONDS,
        DRAINING_SECONDS["small"],
    ),
    "cool-down: a connection is being established": (
        dialer.CONNECT_TIMEOUT_SECONDS,
        IN_FLIGHT_SECONDS,
    ),
    "quarantine: nothing": (CRASH_DETECTION_SECONDS + DATAGRAM_SECONDS, QUARANTINE_SECONDS),
    "quarantine, by record owners: nothing": (
        CRASH_DETECTION_SECONDS + 2 * DATAGRAM_SECONDS,
        QUARANTINE_SECONDS,
    ),
    "quarantine: all reports of a crash but the last are lost": (
        CRASH_DETECTION_SECONDS
        + quarantine_relay.CRASH_REPEATS * PUSH_SECONDS
        + 2 * DATAGRAM_SECONDS,
        QUARANTINE_SECONDS,
    ),
    "quarantine: a host was disconnected": (
        # Its peers receive its heartbeats again, and it requests crash records with the next one.
        HEARTBEAT_SECONDS + DATAGRAM_SECONDS + PUSH_SECONDS + 2 * DATAGRAM_SECONDS,
        QUARANTINE_SECONDS,
    ),
    "quarantine: a host was suspended or has started": (
        PUSH_SECONDS + 2 * DATAGRAM_SECONDS,
        QUARANTINE_SECONDS,
    ),
    # The highest age of the confirmation of a version; beyond the bound, keys are refused.
    "keys: nothing": (
        READ_INTERVAL_SECONDS + SLOW_STORE_SECONDS + QUERY_INTERVAL_SECONDS + QUERY_SECONDS,
        MAX_CONFIRMATION_AGE_SECONDS,
    ),
    "keys: a query is lost": (
        READ_INTERVAL_SECONDS + SLOW_STORE_SECONDS + 2 * QUERY_INTERVAL_SECONDS + QUERY_SECONDS,
        MAX_CONFIRMATION_AGE_SECONDS,
    ),
    "keys: both readers of a zone have failed": (
        WIDENED_SECONDS + QUERY_INTERVAL_SECONDS + QUERY_SECONDS,
        MAX_CONFIRMATION_AGE_SECONDS,
    ),
    "keys: the store was unreachable for two seconds": (
        READ_INTERVAL_SECONDS + SLOW_STORE_SECONDS + QUERY_INTERVAL_SECONDS + QUERY_SECONDS + 2.0,
        MAX_CONFIRMATION_AGE_SECONDS,
    ),
    "in force, by confirmations: they stop": (
        WIDENED_SECONDS + configuration.FOLLOW_POLL_SECONDS + LIST_SECONDS,
        IN_FORCE_SECONDS["large"],
    ),
}


@pytest.mark.parametrize("chain", SUMS)
def test_the_delays_of_each_chain_sum_up_to_at_most_its_bound(chain):
    # Guards against delays that each are under the bound while their sum is not.
    seconds, bound = SUMS[chain]
    assert seconds <= bound


def test_the_table_of_the_invariants_page_shows_these_sums():
    page = (Path(__file__).parents[2] / "docs" / "INVARIANTS.md").read_text()
    rows = dict(
        re.findall(
            r"^\| ((?:draining|in force|cool-down|quarantine|keys)[^|]*?) \|.*"
            r"\| ([0-9.]+ of [0-9.]+) \|$",
            page,
            re.M,
        )
    )
    assert rows == {
        chain: f"{seconds:.2f} of {bound:.1f}" for chain, (seconds, bound) in SUMS.items()
    }


def test_a_peer_misses_two_heartbeats_before_it_counts_as_silent():
    assert 2 * HEARTBEAT_SECONDS < peers.PEER_TIMEOUT_SECONDS
