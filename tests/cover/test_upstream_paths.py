"""Which path to an upstream counts as cut, and which peers are asked."""

import random

import pytest

from swifttrestle.internal.policy.upstream_paths import (
    MAX_RELAYS,
    UNREACHED_SECONDS,
    UpstreamPaths,
)
from swifttrestle.internal.state.members import Member

HERE = Member("here", "127.0.0.1", "a")
NEAR, FAR, OTHER = (Member(name, name, zone) for name, zone in (("n", "a"), ("f", "b"), ("o", "c")))
MEMBERS = (HERE, NEAR, FAR, OTHER)


def make_paths():
    return UpstreamPaths(HERE, random.Random(1))


@pytest.mark.parametrize(
    ("events", "cut"),
    [
        ("", False),
        ("r", False),
        ("rr", True),
        ("rdr", False),
        ("rrr", True),
        ("rrd", False),
        ("rrdr", False),
        ("rrdrr", True),
    ],
    ids=lambda value: value if isinstance(value, str) and value else str(value),
)
def test_a_path_is_cut_after_two_relayed_connections_in_a_row(events, cut):
    paths = make_paths()
    for at, event in enumerate(events):
        if event == "r":
            paths.note_relayed("s0", "n", at)
        else:
            paths.note_direct("s0")
    assert paths.is_cut("s0") is cut


def test_a_new_cut_is_reported_once_and_its_end_with_its_start():
    paths = make_paths()
    assert [paths.note_relayed("s0", "n", at) for at in (1.0, 2.0, 3.0)] == [False, True, False]
    assert paths.note_direct("s0").since == 2.0
    assert paths.note_direct("s0") is None


def test_an_instance_that_is_no_longer_listed_is_forgotten():
    paths = make_paths()
    for name in ("s0", "s1"):
        paths.note_relayed(name, "n", 0.0)
        paths.note_relayed(name, "n", 0.0)
    paths.retain(["s1"], 0.0)
    assert (paths.is_cut("s0"), paths.is_cut("s1")) == (False, True)


@pytest.mark.parametrize(
    ("results", "now", "zone", "first", "last"),
    [
        ([], 0.0, "c", {"n", "o"}, {"f"}),
        ([("n", False)], 0.0, "c", {"o"}, {"n"}),
        ([("n", False)], UNREACHED_SECONDS, "c", {"n", "o"}, {"f"}),
        ([("n", False), ("o", False)], 0.5, "c", {"f"}, {"n", "o"}),
        ([("n", False), ("n", True)], 0.5, "c", {"n", "o"}, {"f"}),
    ],
    ids=["near first", "failed last", "failed long ago", "near ones failed",
         "failed, then reached"],
)  # fmt: skip
def test_the_most_promising_peers_are_asked_first(results, now, zone, first, last):
    paths = make_paths()
    for host, reached in results:
        paths.note_relay(host, "s0", reached, 0.0)
    chosen = [item.host for item in paths.choose_relays("s0", zone, MEMBERS, now)]
    assert chosen[0] in first
    assert chosen[-1] in last


def test_a_host_never_asks_itself_and_few_of_many():
    paths = make_paths()
    many = [HERE, *(Member(f"p{number}", f"{number}", "b") for number in range(50))]
    chosen = paths.choose_relays("s0", "a", many, 0.0)
    assert len(chosen) == MAX_RELAYS
    assert HERE not in chosen
    assert paths.choose_relays("s0", "a", [HERE], 0.0) == []


def test_a_peer_that_failed_for_another_instance_is_asked_after_sound_ones():
    paths = make_paths()
    paths.note_relay("n", "s1", False, 0.0)
    chosen = [item.host for item in paths.choose_relays("s0", "a", MEMBERS, 0.5)]
    assert chosen[-1] == "n"
