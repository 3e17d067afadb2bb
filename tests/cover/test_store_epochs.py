"""Epochs of the store, and responses that name another epoch than the current one."""

import pytest

from swifttrestle.errors import OldEpochError
from swifttrestle.internal.protocol.listings import ListingChanges, pack_changes, unpack_changes
from swifttrestle.internal.state.store_epochs import (
    LOWER_EPOCH_SECONDS,
    NO_REVISION,
    StoreEpochs,
    StoreRevision,
)
from swifttrestle.platform.store import WRITE_TIMEOUT_SECONDS, _read_epoch
from swifttrestle_standins.hosted.direct import DirectStore
from swifttrestle_standins.hosted.store import PAGE_ITEMS
from swifttrestle_standins.virtual_time import run_in_virtual_time


def take_responses(*responses):
    """Return the epochs after responses (epoch, time), and the indexes of those refused."""
    epochs, refused = StoreEpochs(), []
    for number, (named, now) in enumerate(responses):
        try:
            epochs.take(named, now)
        except OldEpochError:
            refused.append(number)
    return epochs, refused


@pytest.mark.parametrize(
    ("responses", "current", "returns", "refused"),
    [
        ([], 0, 0, []),
        ([(None, 0.0), (None, 1.0)], 0, 0, []),
        ([(4, 0.0)], 4, 0, []),
        ([(0, 0.0), (1, 1.0)], 1, 1, []),
        ([(4, 0.0), (None, 1.0), (4, 2.0)], 4, 0, []),
        ([(4, 0.0), (5, 1.0), (6, 1.1)], 6, 2, []),
        ([(4, 0.0), (7, 1.0)], 7, 1, []),
        # A response that was delayed until after a restore.
        ([(4, 0.0), (5, 1.0), (4, 1.1), (5, 1.2)], 5, 1, [2]),
        # Two stores of different epochs that respond alternately.
        ([(5, 0.0), (4, 1.0), (5, 2.0), (4, 4.5), (5, 5.0)], 5, 0, [1, 3]),
        # A store that was recreated with a lower epoch.
        ([(5, 0.0), (1, 1.0), (1, 2.0), (1, 1.0 + LOWER_EPOCH_SECONDS)], 1, 1, [1, 2]),
    ],
)
def test_the_current_epoch_follows_the_responses_of_the_store(responses, current, returns, refused):
    epochs, found = take_responses(*responses)
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
def test_an_epoch_header_is_parsed_or_ignored(text, named):
    assert _read_epoch(text) == named


def test_revisions_are_ordered_by_their_epoch_first():
    assert NO_REVISION < StoreRevision(0, 90) < StoreRevision(1, 3) < StoreRevision(1, 4)


def test_listing_datagrams_keep_the_epochs_of_revisions():
    changes = ListingChanges(StoreRevision(3, 90), StoreRevision(4, 2), 0.5)
    assert unpack_changes(pack_changes(changes)) == changes


class RestoredStore(DirectStore):
    """A store that is restored from a copy after the first page of each list."""

    async def _call(self, method, path, body, seconds=WRITE_TIMEOUT_SECONDS):
        page = await super()._call(method, path, body, seconds)
        if page["hasMore"]:
            self.stand_in.restore(self.stand_in.copy_contents())
        return page


def test_a_list_with_pages_of_two_epochs_is_refused():
    async def check():
        store = RestoredStore()
        for number in range(PAGE_ITEMS + 1):
            store.stand_in.put("others", f"o{number:03}", number)
        with pytest.raises(OldEpochError):
            await store.list("others")

    run_in_virtual_time(check())
