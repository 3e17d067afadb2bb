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
    """A prompt that an engine was sent, or got the KV cache of."""

    engine: str
    parts: tuple[PromptPart, ...]


class PromptCache:
    """The parts that one engine is believed to keep, the least recently used ones first."""

    def __init__(self) -> None:
        """Start with nothing kept."""
        self._parts: OrderedDict[str, int] = OrderedDict()
        self._tokens = 0

    def note(self, parts: Iterable[PromptPart], memory: int) -> None:
        """Believe that an engine with so many tokens of memory has read these parts."""
        for item in parts:
            self._tokens += item.tokens - self._parts.pop(item.part, 0)
            self._parts[item.part] = item.tokens
        limit = (memory or UNKNOWN_MEMORY_TOKENS) * KEPT_SHARE
        while self._parts and self._tokens > limit:
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens

    def forget(self, parts: Iterable[PromptPart]) -> None:
        """Believe no longer that these parts were read."""
        for item in parts:
            self._tokens -= self._parts.pop(item.part, 0)

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
