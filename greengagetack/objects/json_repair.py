"""greengagetack.objects.json_repair: makes JSON documents with odd values decodable.

One value of another writer must not make a whole listing unreadable.
"""

import re

__all__ = ["MAX_DEPTH", "is_too_deep", "repair_json"]

# Decoders recurse; the documents of the store have a depth of about ten.
MAX_DEPTH = 64
TOKENS = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{}]|-?(?:NaN|Infinity)', re.DOTALL)
ESCAPES = re.compile(
    rb"\\(?:u[dD][89abAB][0-9a-fA-F]{2}\\u[dD][c-fC-F][0-9a-fA-F]{2}|u[0-9a-fA-F]{4}|.)"
)
LONE_SURROGATE = re.compile(rb"\\u[dD][89a-fA-F][0-9a-fA-F]{2}")
REPLACEMENT = b"\\ufffd"
# Can be skipped, but not decoded: the object that has it is not used.
UNDECODABLE = b"1e999"


def is_too_deep(document: bytes) -> bool:
    """Whether a document is nested deeper than `MAX_DEPTH`."""
    if document.count(b"[") + document.count(b"{") <= MAX_DEPTH:
        return False
    depth = 0
    for match in TOKENS.finditer(document):
        token = match[0]
        if token in (b"[", b"{"):
            depth += 1
        elif token in (b"]", b"}"):
            depth -= 1
        if depth > MAX_DEPTH:
            return True
    return False


def repair_json(document: bytes) -> bytes:
    """Return a document that a decoder can skip through, whatever its values are like.

    Values below `MAX_DEPTH` and those that are not finite become numbers that cannot be
    decoded; what is no valid text becomes the replacement character.
    """
    parts: list[bytes] = []
    copied_until = 0
    depth = 0
    for match in TOKENS.finditer(document):
        token = match[0]
        if token in (b"[", b"{"):
            depth += 1
            if depth == MAX_DEPTH + 1:
                parts += (document[copied_until : match.start()], UNDECODABLE)
            continue
        if token in (b"]", b"}"):
            depth -= 1
            if depth == MAX_DEPTH:
                copied_until = match.end()
            continue
        if depth > MAX_DEPTH:
            continue
        parts += (document[copied_until : match.start()], _repaired(token))
        copied_until = match.end()
    if depth <= MAX_DEPTH:
        parts.append(document[copied_until:])
    return b"".join(parts).decode("utf-8", "replace").encode()


def _repaired(token: bytes) -> bytes:
    if not token.startswith(b'"'):
        return UNDECODABLE
    return ESCAPES.sub(_repaired_escape, token)


def _repaired_escape(match: re.Match[bytes]) -> bytes:
    return REPLACEMENT if LONE_SURROGATE.fullmatch(match[0]) else match[0]
