"""Digests of prompt prefixes, one per block of tokens, as in engines' cache events."""

import zlib

BLOCK_TOKENS = 32


def split_blocks(prompt: str) -> tuple[int, ...]:
    """Return the digest of the prefix up to each complete block, in order."""
    words = prompt.split()
    digest = 0
    blocks = []
    for start in range(0, len(words) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        block = " ".join(words[start : start + BLOCK_TOKENS])
        digest = zlib.crc32(block.encode(), digest)
        blocks.append(digest)
    return tuple(blocks)


def count_tokens(prompt: str) -> int:
    """Return an estimate of a prompt's length in tokens: its number of words."""
    return max(1, len(prompt.split()))
