"""Which engine is believed to hold which prompt prefixes.

Own sends are noted at once; cache events come late and with gaps and correct them. A block
that is believed in wrongly costs some prefill, never a wrong answer.
"""

from collections import OrderedDict
from collections.abc import Sequence

from swifttrestle.internal.protocol.prefixes import BLOCK_TOKENS

BLOCK_LIMIT = 50_000


class PrefixIndex:
    """Blocks believed to be cached, by engine; used under its owner's lock."""

    def __init__(self) -> None:
        """Start with nothing believed."""
        self._blocks: dict[str, OrderedDict[int, None]] = {}

    def note_stored(self, engine: str, blocks: Sequence[int]) -> None:
        """Believe that an engine holds these blocks."""
        held = self._blocks.setdefault(engine, OrderedDict())
        for block in blocks:
            held[block] = None
            held.move_to_end(block)
        while len(held) > BLOCK_LIMIT:
            held.popitem(last=False)

    def note_dropped(self, engine: str, block: int) -> None:
        """Believe it no longer."""
        self._blocks.get(engine, OrderedDict()).pop(block, None)

    def forget(self, engine: str) -> None:
        """Drop all beliefs on an engine, which has started anew."""
        self._blocks.pop(engine, None)

    def count_cached(self, engine: str, blocks: Sequence[int]) -> int:
        """Return the prompt tokens that an engine is believed to hold."""
        held = self._blocks.get(engine)
        if not held:
            return 0
        count = 0
        for block in blocks:
            if block not in held:
                break
            count += 1
        return count * BLOCK_TOKENS
