"""Splits content into pieces, to imitate a slow link."""

from collections.abc import Iterator


def cut_pieces(content: bytes, pieces: int) -> Iterator[bytes]:
    """Yield the content in at most `pieces` parts of equal size; the last may be smaller."""
    size = max(1, -(-len(content) // pieces))
    for start in range(0, len(content), size):
        yield content[start : start + size]
