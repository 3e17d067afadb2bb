"""The answers that stand-ins give: each a function of the question, so any run can be checked."""

import zlib
from dataclasses import dataclass


@dataclass(frozen=True)
class Question:
    """All that an answer depends on."""

    model: str
    version: str
    adapter: str
    prompt: str

    @property
    def digest(self) -> int:
        """A number that stands for the question."""
        text = "\0".join((self.model, self.version, self.adapter, self.prompt))
        return zlib.crc32(text.encode())


def make_word(digest: int, offset: int) -> str:
    """Return the token at an offset of the answer to a question."""
    return f"{zlib.crc32(offset.to_bytes(4, 'big'), digest):08x} "


def make_answer(question: Question, tokens: int) -> str:
    """Return a whole answer."""
    digest = question.digest
    return "".join(make_word(digest, offset) for offset in range(tokens))
