"""greengagetack.documents: parses and validates JSON documents."""

import dataclasses
import difflib
import enum
import functools
import json
import math
import re
import types
import typing
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, TypeVar

import json5
import msgspec

from greengagetack.errors import InvalidRequest, register_error

__all__ = [
    "InvalidDocument",
    "Problem",
    "convert_document",
    "find_problems",
    "parse_json",
    "parse_json_with_comments",
]

MAX_DEPTH = 32
TOO_DEEP_REASON = f"values may be nested at most {MAX_DEPTH} levels deep"
MAX_INTEGER = 2**63 - 1
MAX_JSON5_BYTES = 256 * 1024
MAX_SHOWN_PROBLEMS = 50
NAME_SIMILARITY_RATIO = 0.6

T = TypeVar("T")

FieldCheck = Callable[[type, str, Any, str], "list[Problem]"]


@dataclass(frozen=True, slots=True)
class Problem:
    """One fault of a document: its path, such as ``/a/b/0/c``, and the reason."""

    path: str
    reason: str

    def __str__(self) -> str:
        return f"{self.path}: {self.reason}"


@register_error
class InvalidDocument(InvalidRequest):
    """A document is invalid; `problems` lists every fault."""

    code = "invalid_document"
    remedy = "Correct every field that the reason lists; nothing was changed."

    def __init__(
        self,
        reason: str,
        retry_after_s: float | None = None,
        problems: tuple[Problem, ...] = (),
    ) -> None:
        super().__init__(reason, retry_after_s)
        self.problems = problems

    def details(self) -> Any:
        """Return the problems for the error response."""
        return {"problems": self.problems} if self.problems else None

    @classmethod
    def from_problems(cls, problems: typing.Sequence[Problem]) -> "InvalidDocument":
        """Return the error that lists `problems`."""
        shown = [str(problem) for problem in problems[:MAX_SHOWN_PROBLEMS]]
        hidden_count = len(problems) - len(shown)
        if hidden_count:
            shown.append(f"and {hidden_count} more")
        return cls("; ".join(shown), problems=tuple(problems))


class _DuplicateKey(ValueError):
    """A JSON object contains a key twice."""

    def __init__(self, key: str) -> None:
        super().__init__(key)
        self.key = key


def _object_without_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    value: dict[str, Any] = {}
    for key, item in pairs:
        if key in value:
            raise _DuplicateKey(key)
        value[key] = item
    return value


def _reject_constant(name: str) -> Any:
    raise ValueError(f"{name} is not a JSON number")


def parse_json(text: str | bytes) -> Any:
    """Parse strict JSON text into a plain value.

    Raises
    ------
    InvalidDocument
        If the text is not JSON, contains a key twice or is nested too deeply; the
        reason gives the line and column.
    """
    decoded = _decode(text)
    try:
        value = json.loads(
            decoded,
            object_pairs_hook=_object_without_duplicates,
            parse_constant=_reject_constant,
        )
    except _DuplicateKey as error:
        raise _duplicate_key_error(decoded, error.key) from None
    except json.JSONDecodeError as error:
        raise InvalidDocument(
            f"line {error.lineno} column {error.colno}: {error.msg}"
        ) from None
    except RecursionError:
        raise InvalidDocument(TOO_DEEP_REASON) from None
    except ValueError as error:
        raise InvalidDocument(f"the text is not JSON: {error}") from None
    _check_values(value)
    return value


def parse_json_with_comments(text: str | bytes) -> Any:
    """Parse JSON text with comments into a plain value.

    Raises the same errors as `parse_json`.
    """
    try:
        return parse_json(text)
    except InvalidDocument as error:
        if error.reason == TOO_DEEP_REASON or error.reason.startswith("the key"):
            raise
    decoded = _decode(text)
    # The json5 parser takes about 20 s per megabyte.
    if len(decoded) > MAX_JSON5_BYTES:
        raise InvalidDocument(
            f"JSON with comments may have at most {MAX_JSON5_BYTES} bytes; "
            f"this text is not strict JSON and has {len(decoded)}"
        )
    try:
        value = json5.loads(decoded, allow_duplicate_keys=False)
    except RecursionError:
        raise InvalidDocument(TOO_DEEP_REASON) from None
    except ValueError as error:
        raise _json5_error(decoded, str(error)) from None
    _check_values(value)
    return value


def _decode(text: str | bytes) -> str:
    if isinstance(text, str):
        return text
    try:
        return text.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        raise InvalidDocument(
            f"the byte at offset {error.start} is not valid UTF-8"
        ) from None


def _json5_error(text: str, reason: str) -> InvalidDocument:
    duplicate = re.match(r'Duplicate key "(.*)" found', reason, re.DOTALL)
    if duplicate:
        return _duplicate_key_error(text, duplicate.group(1))
    located = re.match(r"<string>:(\d+) (.*) at column (\d+)", reason, re.DOTALL)
    if located:
        line, fault, column = located.groups()
        return InvalidDocument(f"line {line} column {column}: {fault}")
    return InvalidDocument(f"the text is not JSON: {reason}")


def _duplicate_key_error(text: str, key: str) -> InvalidDocument:
    pattern = re.compile(rf"""(["']?){re.escape(key)}\1\s*:""")
    places = []
    for found in pattern.finditer(text):
        line = text.count("\n", 0, found.start()) + 1
        column = found.start() - text.rfind("\n", 0, found.start())
        places.append(f"line {line} column {column}")
    shown = f"; it stands at {', '.join(places[:10])}" if places else ""
    return InvalidDocument(f"the key {key!r} stands twice in one object{shown}")


def _check_values(value: Any) -> None:
    level = [value]
    for _ in range(MAX_DEPTH + 1):
        deeper: list[Any] = []
        for item in level:
            if isinstance(item, dict):
                deeper.extend(item)
                deeper.extend(item.values())
            if isinstance(item, list):
                deeper.extend(item)
            if isinstance(item, str) and not item.isascii():
                _check_text(item)
        if not deeper:
            return
        level = deeper
    raise InvalidDocument(TOO_DEEP_REASON)


def _check_text(item: str) -> None:
    try:
        item.encode()
    except UnicodeEncodeError:
        raise InvalidDocument("a string contains an unpaired surrogate") from None


def convert_document(value: Any, document_type: type[T], path: str = "") -> T:
    """Convert a plain value to a frozen data class.

    Raises
    ------
    InvalidDocument
        If the value does not match; lists all unknown and missing keys and wrong
        types.
    """
    problems = find_problems(value, document_type, path)
    if problems:
        raise InvalidDocument.from_problems(problems)
    return msgspec.convert(value, document_type)


def find_problems(
    value: Any, expected: Any, path: str, check: FieldCheck | None = None
) -> list[Problem]:
    """Validate a plain value against a type and return all problems.

    `check` is called for each field value of the right type and returns further
    problems; it takes the owning class, the field name, the value and its path.
    """
    return _ProblemFinder(check).find(value, expected, path, (object, ""))


class _ProblemFinder:
    """Walks a plain value and a type in parallel and collects problems."""

    def __init__(self, check: FieldCheck | None) -> None:
        self._check = check

    def find(
        self, value: Any, expected: Any, path: str, field: tuple[type, str]
    ) -> list[Problem]:
        if dataclasses.is_dataclass(expected):
            return self._find_in_object(value, typing.cast(type, expected), path)
        origin = typing.get_origin(expected)
        arguments = typing.get_args(expected)
        if origin in (types.UnionType, typing.Union):
            if value is None and types.NoneType in arguments:
                return []
            options = [option for option in arguments if option is not types.NoneType]
            if len(options) == 1:
                return self.find(value, options[0], path, field)
        is_uniform = origin is list or (origin is tuple and arguments[-1] is Ellipsis)
        if is_uniform and isinstance(value, list):
            return self._find_in_items(enumerate(value), arguments[0], path, field)
        if origin is dict and isinstance(value, dict):
            return self._find_in_items(value.items(), arguments[1], path, field)
        problems = _leaf_problems(value, expected, path)
        if problems or self._check is None:
            return problems
        return self._check(field[0], field[1], value, path)

    def _find_in_items(
        self, items: Any, expected: Any, path: str, field: tuple[type, str]
    ) -> list[Problem]:
        problems: list[Problem] = []
        for key, item in items:
            problems.extend(self.find(item, expected, f"{path}/{key}", field))
        return problems

    def _find_in_object(self, value: Any, expected: type, path: str) -> list[Problem]:
        if not isinstance(value, dict):
            return [
                Problem(path or "/", f"an object is expected, not {_type_name(value)}")
            ]
        types_by_name = _field_types(expected)
        problems = []
        for name in value:
            if name not in types_by_name:
                reason = "unknown key" + _nearest_name(name, types_by_name)
                problems.append(Problem(f"{path}/{name}", reason))
        for field in dataclasses.fields(expected):
            where = f"{path}/{field.name}"
            if field.name in value:
                item_type = types_by_name[field.name]
                owner = (expected, field.name)
                found = self.find(value[field.name], item_type, where, owner)
                problems.extend(found)
                continue
            if _is_required(field):
                problems.append(Problem(where, "this key is required"))
        return problems


@functools.cache
def _field_types(document_type: type) -> dict[str, Any]:
    return typing.get_type_hints(document_type)


def _is_required(field: "dataclasses.Field[Any]") -> bool:
    has_default = field.default is not dataclasses.MISSING
    has_factory = field.default_factory is not dataclasses.MISSING
    return not has_default and not has_factory


def _nearest_name(name: str, known: Iterable[str]) -> str:
    nearest = difflib.get_close_matches(
        str(name), list(known), 1, NAME_SIMILARITY_RATIO
    )
    return f"; did you mean {nearest[0]!r}?" if nearest else ""


def _leaf_problems(value: Any, expected: Any, path: str) -> list[Problem]:
    if isinstance(value, float) and not math.isfinite(value):
        return [Problem(path, "a finite number is expected")]
    if isinstance(value, int) and abs(value) > MAX_INTEGER:
        return [Problem(path, f"an integer may be at most {MAX_INTEGER}")]
    if isinstance(expected, type) and issubclass(expected, enum.Enum):
        names = [str(member.value) for member in expected]
        if value not in names:
            near = _nearest_name(str(value), names)
            return [Problem(path, f"one of {', '.join(names)} is expected{near}")]
    try:
        msgspec.convert(value, expected)
    except msgspec.ValidationError as error:
        return [Problem(path or "/", str(error).replace("`", "'"))]
    except (TypeError, OverflowError) as error:
        return [Problem(path or "/", str(error))]
    return []


def _type_name(value: Any) -> str:
    if value is None:
        return "null"
    names: dict[type, str] = {
        bool: "a boolean",
        dict: "an object",
        float: "a number",
        int: "a number",
        list: "an array",
        str: "a string",
    }
    return names.get(type(value), type(value).__name__)
