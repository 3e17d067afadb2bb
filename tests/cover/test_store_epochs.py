"""Epochs of the store: what its answers name, and what becomes of answers that say otherwise."""

import pytest

from swifttrestle.errors import OldEpochError
from swifttrestle.internal.protocol.listings import ListingChanges, pack_changes, unpack_changes
from swifttrestle.internal.state.store_epochs import (
    FALL_SECONDS,
    NO_REVISION,
    StoreEpochs,
    StoreRevision,
)
from swifttrestle.platform.store import CALL_SECONDS, _read_epoch
from swifttrestle_standins.hosted.direct import DirectStore
from swifttrestle_standins.hosted.store import PAGE_ITEMS
from swifttrestle_standins.virtual_time import run_in_virtual_time


def hear(*words):
    """Return the epochs after words of pairs (named, seconds), and which words were refused."""
    epochs, refused = StoreEpochs(), []
    for number, (named, now) in enumerate(words):
        try:
            epochs.take(named, now)
        except OldEpochError:
            refused.append(number)
    return epochs, refused


@pytest.mark.parametrize(
    ("words", "current", "returns", "refused"),
    [
        ([], 0, 0, []),
        ([(None, 0.0), (None, 1.0)], 0, 0, []),
        ([(4, 0.0)], 4, 0, []),
        ([(0, 0.0), (1, 1.0)], 1, 1, []),
        ([(4, 0.0), (None, 1.0), (4, 2.0)], 4, 0, []),
        ([(4, 0.0), (5, 1.0), (6, 1.1)], 6, 2, []),
        ([(4, 0.0), (7, 1.0)], 7, 1, []),
        # An answer that was under way as the store came back.
        ([(4, 0.0), (5, 1.0), (4, 1.1), (5, 1.2)], 5, 1, [2]),
        # Two stores that answer in turn.
        ([(5, 0.0), (4, 1.0), (5, 2.0), (4, 4.5), (5, 5.0)], 5, 0, [1, 3]),
        # A store that was set up anew.
        ([(5, 0.0), (1, 1.0), (1, 2.0), (1, 1.0 + FALL_SECONDS)], 1, 1, [1, 2]),
    ],
)
def test_the_epoch_follows_what_the_store_names(words, current, returns, refused):
    epochs, found = hear(*words)
    assert (epochs.current, epochs.returns, found) == (current, returns, refused)


@pytest.mark.parametrize(
    ("text", "named"),
    [
        (b"7", 7),
        (b"0", 0),
        (b"9999999999", 9999999999),
        (b"", None),
        (b"-1", None),
        (b"1.5", None),
        (b"banana", None),
        (b" ", None),
        (b"\xb2", None),
        (b"99999999999", None),
        (b"1" * 5000, None),
    ],
)
def test_a_header_names_an_epoch_or_none(text, named):
    assert _read_epoch(text) == named


def test_revisions_are_compared_by_their_epoch_first():
    assert NO_REVISION < StoreRevision(0, 90) < StoreRevision(1, 3) < StoreRevision(1, 4)


def test_hosts_tell_each_other_revisions_with_their_epochs():
    changes = ListingChanges(StoreRevision(3, 90), StoreRevision(4, 2), 0.5)
    assert unpack_changes(pack_changes(changes)) == changes


class ReturningStore(DirectStore):
    """A store that comes back from a copy after the first page of each list."""

    async def _call(self, method, path, body, seconds=CALL_SECONDS):
        page = await super()._call(method, path, body, seconds)
        if page["hasMore"]:
            self.stand_in.come_back(self.stand_in.take_copy())
        return page


def test_a_list_of_two_epochs_is_none():
    async def story():
        store = ReturningStore()
        for number in range(PAGE_ITEMS + 1):
            store.stand_in.put("others", f"o{number:03}", number)
        with pytest.raises(OldEpochError):
            await store.list("others")

    run_in_virtual_time(story())
