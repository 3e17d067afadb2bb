"""Which parts of prompts an engine is believed to keep, by what was sent to it.

A part that is believed in wrongly costs some reading more than predicted, never a wrong answer.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

# Share of an engine's memory that kept parts are believed to fill: the rest holds what is
# being read or made.
KEPT_SHARE = 0.8
# Tokens of memory of an engine whose service does not declare them.
UNKNOWN_MEMORY_TOKENS = 100_000


@dataclass(frozen=True)
class PromptPart:
    """One part of a prompt; parts with the same id are the same tokens."""

    part: str
    tokens: int


@dataclass(frozen=True)
class SentPrompt:
    """A prompt that an engine was sent; `read` once it has read it, or got the KV cache of it."""

    engine: str
    parts: tuple[PromptPart, ...]
    read: bool = False


@dataclass
class _KeptPart:
    """A part that an engine was sent, and whether it is known to have been read there."""

    tokens: int
    read: bool


class PromptCache:
    """The parts that one engine is believed to keep, the least recently used ones first."""

    def __init__(self) -> None:
        """Start with nothing kept."""
        self._parts: OrderedDict[str, _KeptPart] = OrderedDict()
        self._tokens = 0

    def note(self, parts: Iterable[PromptPart], memory: int, read: bool = False) -> None:
        """Believe that an engine with so many tokens of memory reads these parts, or has."""
        for item in parts:
            known = self._drop(item)
            self._parts[item.part] = _KeptPart(item.tokens, read or known)
            self._tokens += item.tokens
        limit = (memory or UNKNOWN_MEMORY_TOKENS) * KEPT_SHARE
        while self._parts and self._tokens > limit:
            _, kept = self._parts.popitem(last=False)
            self._tokens -= kept.tokens

    def forget(self, parts: Iterable[PromptPart]) -> None:
        """Believe no longer that these parts were read."""
        for item in parts:
            self._drop(item)

    def _drop(self, item: PromptPart) -> bool:
        """Drop a part; return whether it was known to have been read."""
        kept = self._parts.pop(item.part, None)
        if kept is None:
            return False
        self._tokens -= kept.tokens
        return kept.read

    def list_unread(self, parts: Sequence[PromptPart]) -> tuple[PromptPart, ...]:
        """Return the parts that need reading: the first one that is not kept, and all after it."""
        for number, item in enumerate(parts):
            if item.part not in self._parts:
                return tuple(parts[number:])
        return ()

    def count(self, parts: Sequence[PromptPart]) -> int:
        """Return the tokens that need no reading: an engine keeps a part after those before it."""
        kept = len(parts) - len(self.list_unread(parts))
        return sum(item.tokens for item in parts[:kept])

    def count_read(self, parts: Sequence[PromptPart]) -> int:
        """Return the first tokens that are known to have been read, not just booked to be."""
        tokens = 0
        for item in parts:
            kept = self._parts.get(item.part)
            if kept is None or not kept.read:
                break
            tokens += item.tokens
        return tokens
