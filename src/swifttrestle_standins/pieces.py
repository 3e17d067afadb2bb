"""Content cut into pieces, as a thin link brings it."""

from collections.abc import Iterator


def cut_pieces(content: bytes, pieces: int) -> Iterator[bytes]:
    """Yield content in so many pieces of one size, the last one smaller."""
    size = max(1, -(-len(content) // pieces))
    for start in range(0, len(content), size):
        yield content[start : start + size]
