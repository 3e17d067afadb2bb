"""Prompt prefixes as engines name them in cache events: one digest a block of tokens."""

import zlib

BLOCK_TOKENS = 32


def split_blocks(prompt: str) -> tuple[int, ...]:
    """Return the digest of each whole block's prefix, the first block's first."""
    words = prompt.split()
    digest = 0
    blocks = []
    for start in range(0, len(words) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        block = " ".join(words[start : start + BLOCK_TOKENS])
        digest = zlib.crc32(block.encode(), digest)
        blocks.append(digest)
    return tuple(blocks)


def count_tokens(prompt: str) -> int:
    """Return a prompt's length in tokens, estimated by its words."""
    return max(1, len(prompt.split()))
