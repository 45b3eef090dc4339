"""standins.tokens: the text that the engine stand-in generates."""

import re
from collections.abc import Sequence

import msgspec
import xxhash

__all__ = [
    "ChatMessage",
    "answer_length",
    "answer_text",
    "count_prompt_tokens",
    "render_chat_prompt",
    "token_text",
]

LENGTH_DIRECTIVE = re.compile(r"\[len=(\d+(?:,\d+)*)\]")
MEDIAN_TOKENS = 48
TAIL_EXPONENT = 1.6
MAX_DRAWN_TOKENS = 2_048
HASH_RANGE = 2**64


class ChatMessage(msgspec.Struct, frozen=True):
    """A message of a chat request."""

    role: str
    content: str


def render_chat_prompt(messages: Sequence[ChatMessage]) -> str:
    """Render the messages of a chat as one prompt."""
    return "\n".join(f"{message.role}: {message.content}" for message in messages)


def count_prompt_tokens(prompt: str) -> int:
    """Return the number of prompt tokens, one per word."""
    return len(prompt.split())


def token_text(prompt: str, seed: int, index: int) -> str:
    """Return the text of token `index`, a pure function of its arguments."""
    digest = xxhash.xxh32_hexdigest(f"{seed}/{index}/{prompt}".encode())[:4]
    return f"tok{index}-{digest} "


def answer_length(prompt: str, seed: int, max_tokens: int) -> int:
    """Return the number of tokens of an answer.

    A directive such as ``[len=123]`` in the prompt sets the length; from a list such
    as ``[len=123,45]`` the seed selects one. Otherwise the length is drawn from a
    heavy-tailed distribution by the hash of prompt and seed.
    """
    directive = LENGTH_DIRECTIVE.search(prompt)
    if directive is not None:
        lengths = directive.group(1).split(",")
        return max(1, min(max_tokens, int(lengths[seed % len(lengths)])))
    draw = (xxhash.xxh64_intdigest(f"{seed}/{prompt}".encode()) + 1) / (HASH_RANGE + 1)
    drawn = MEDIAN_TOKENS * (2.0 * draw) ** (-1.0 / TAIL_EXPONENT)
    return max(1, min(max_tokens, MAX_DRAWN_TOKENS, int(drawn)))


def answer_text(prompt: str, seed: int, max_tokens: int) -> str:
    """Return the complete text of an answer."""
    count = answer_length(prompt, seed, max_tokens)
    return "".join(token_text(prompt, seed, index) for index in range(count))
