"""An estimate of the prompt prefixes in the cache of each engine.

Requests sent by this process update it at once; cache events, which arrive late and with gaps,
correct it. A wrong entry costs some prefill, never a wrong response.
"""

from collections import OrderedDict
from collections.abc import Sequence

from swifttrestle.internal.protocol.prefixes import BLOCK_TOKENS

MAX_BLOCKS_PER_ENGINE = 50_000


class PrefixIndex:
    """The blocks estimated to be cached, by engine; its owner's lock guards it."""

    def __init__(self) -> None:
        self._blocks: dict[str, OrderedDict[int, None]] = {}

    def note_stored(self, engine: str, blocks: Sequence[int]) -> None:
        """Record blocks as cached by an engine."""
        held = self._blocks.setdefault(engine, OrderedDict())
        for block in blocks:
            held[block] = None
            held.move_to_end(block)
        while len(held) > MAX_BLOCKS_PER_ENGINE:
            held.popitem(last=False)

    def note_dropped(self, engine: str, block: int) -> None:
        """Record a block as evicted by an engine."""
        self._blocks.get(engine, OrderedDict()).pop(block, None)

    def drop_engine(self, engine: str) -> None:
        """Drop all entries of an engine that has restarted."""
        self._blocks.pop(engine, None)

    def count_cached(self, engine: str, blocks: Sequence[int]) -> int:
        """Return the estimated number of prompt tokens that an engine has cached."""
        held = self._blocks.get(engine)
        if not held:
            return 0
        count = 0
        for block in blocks:
            if block not in held:
                break
            count += 1
        return count * BLOCK_TOKENS
