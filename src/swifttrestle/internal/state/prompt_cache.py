"""An estimate of the prompt parts in an engine's cache, by the prompts sent to it.

A wrong entry costs more prefill than predicted, never a wrong response.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

# Estimated share of an engine's memory for cached parts; requests in progress use the rest.
CACHED_SHARE = 0.8
# Assumed memory, in tokens, of an engine whose service does not declare it.
DEFAULT_MEMORY_TOKENS = 100_000


@dataclass(frozen=True)
class PromptPart:
    """One part of a prompt; parts with the same id have the same tokens."""

    part: str
    tokens: int


@dataclass(frozen=True)
class SentPrompt:
    """A prompt sent to an engine; `read` once it was prefilled, or its KV cache transferred."""

    engine: str
    parts: tuple[PromptPart, ...]
    read: bool = False


@dataclass
class _CachedPart:
    """A part sent to an engine, and whether its prefill is confirmed."""

    tokens: int
    read: bool


class PromptCache:
    """The parts estimated to be cached by one engine, least recently used first."""

    def __init__(self) -> None:
        self._parts: OrderedDict[str, _CachedPart] = OrderedDict()
        self._tokens = 0

    def note(self, parts: Iterable[PromptPart], memory: int, read: bool = False) -> None:
        """Record parts sent to an engine with a memory in tokens; `read` if they were prefilled."""
        for item in parts:
            confirmed = self._drop(item)
            self._parts[item.part] = _CachedPart(item.tokens, read or confirmed)
            self._tokens += item.tokens
        limit = (memory or DEFAULT_MEMORY_TOKENS) * CACHED_SHARE
        while self._parts and self._tokens > limit:
            _, cached = self._parts.popitem(last=False)
            self._tokens -= cached.tokens

    def drop(self, parts: Iterable[PromptPart]) -> None:
        """Drop parts, for example after a failed prefill."""
        for item in parts:
            self._drop(item)

    def _drop(self, item: PromptPart) -> bool:
        """Drop a part; return whether its prefill was confirmed."""
        cached = self._parts.pop(item.part, None)
        if cached is None:
            return False
        self._tokens -= cached.tokens
        return cached.read

    def list_uncached(self, parts: Sequence[PromptPart]) -> tuple[PromptPart, ...]:
        """Return the parts that need prefill: the first one not cached and all after it."""
        for number, item in enumerate(parts):
            if item.part not in self._parts:
                return tuple(parts[number:])
        return ()

    def count(self, parts: Sequence[PromptPart]) -> int:
        """Return the tokens of the leading parts that are cached and need no prefill."""
        cached = len(parts) - len(self.list_uncached(parts))
        return sum(item.tokens for item in parts[:cached])

    def count_prefilled(self, parts: Sequence[PromptPart]) -> int:
        """Return the tokens of the leading parts whose prefill is confirmed, not just booked."""
        tokens = 0
        for item in parts:
            cached = self._parts.get(item.part)
            if cached is None or not cached.read:
                break
            tokens += item.tokens
        return tokens
