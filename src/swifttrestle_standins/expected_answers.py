"""Deterministic answers of the stand-ins, which callers can compute to check a response."""

import zlib
from dataclasses import dataclass


@dataclass(frozen=True)
class GenerationInput:
    """The inputs that determine an answer."""

    model: str
    version: str
    adapter: str
    prompt: str

    @property
    def digest(self) -> int:
        """A checksum of all inputs."""
        text = "\0".join((self.model, self.version, self.adapter, self.prompt))
        return zlib.crc32(text.encode())


def make_token(digest: int, offset: int) -> str:
    """Return the token at an offset of the answer with a digest."""
    return f"{zlib.crc32(offset.to_bytes(4, 'big'), digest):08x} "


def make_answer(generation_input: GenerationInput, tokens: int) -> str:
    """Return the first `tokens` tokens of an answer."""
    digest = generation_input.digest
    return "".join(make_token(digest, offset) for offset in range(tokens))
