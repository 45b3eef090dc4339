"""features.support.error_page: generates the operators' page of error codes.

``python -m features.support.error_page`` writes the page.
"""

import importlib
import pkgutil
from pathlib import Path

import greengagetack
from greengagetack.errors import ERROR_TYPES, Outcome

__all__ = ["PAGE", "load_all_errors", "render_page"]

PAGE = Path(__file__).resolve().parents[2] / "docs" / "operators" / "error-codes.md"
MAIN_MODULES = ("greengagetack.__main__",)

HEAD = """# Error codes

Every refusal has the same form, over HTTP and on the command line:

    {"error": {"code", "reason", "outcome", "remedy", "retry_after_s", "request_id"}}

`outcome` is `not_run` if the request surely had no effect, and `unknown` if it may have
had one. A single error can say less than its code does: `outcome` in the answer counts.
`details` holds more for some codes: all faults of a document with their paths, or both
versions of a conflict. With a `retry_after_s` there is a `Retry-After` header.

The table is written by `python -m features.support.error_page` from the registry in
`greengagetack/errors.py`.

| code | HTTP | outcome | meaning | what to do |
| --- | --- | --- | --- | --- |
"""


def load_all_errors() -> None:
    """Import all modules, so that every error type is registered."""
    for found in pkgutil.walk_packages(greengagetack.__path__, "greengagetack."):
        if found.name not in MAIN_MODULES:
            importlib.import_module(found.name)


def render_page() -> str:
    """Return the whole page."""
    load_all_errors()
    rows = []
    for code in sorted(ERROR_TYPES):
        error_type = ERROR_TYPES[code]
        meaning = (error_type.__doc__ or "").strip().splitlines()[0]
        outcome = error_type.outcome.value
        if code == "internal_error":
            meaning = "The daemon met an unexpected error."
            outcome = Outcome.UNKNOWN.value
        rows.append(
            f"| `{code}` | {error_type.http_status} | {outcome} "
            f"| {meaning} | {error_type.remedy} |\n"
        )
    return HEAD + "".join(rows)


if __name__ == "__main__":
    PAGE.write_text(render_page())
