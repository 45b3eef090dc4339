"""greengagetack.daemons.auth: bearer tokens and authentication."""

import hashlib
import hmac
import secrets
from dataclasses import dataclass

from greengagetack.errors import Forbidden, Unauthorized
from greengagetack.settings.view import SettingsView

__all__ = [
    "NewToken",
    "Principal",
    "authenticate",
    "hash_token",
    "new_token",
    "require_operator",
    "require_team",
]

TOKEN_PREFIX = "ggt_"
TOKEN_BYTES = 32
MAX_TOKEN_CHARACTERS = 256
SCHEME = "bearer"


@dataclass(frozen=True, slots=True)
class Principal:
    """Sender of a request: a team, or a fleet operator (then `team` is empty)."""

    team: str = ""
    is_operator: bool = False

    @property
    def name(self) -> str:
        """Name used in traces and logs."""
        return "operator" if self.is_operator else self.team


@dataclass(frozen=True, slots=True)
class NewToken:
    """A bearer token, shown only once, and its hash for the settings."""

    token: str
    token_hash: str


def new_token() -> NewToken:
    """Generate a random token and its hash."""
    token = TOKEN_PREFIX + secrets.token_urlsafe(TOKEN_BYTES)
    return NewToken(token, hash_token(token))


def hash_token(token: str) -> str:
    """Return the hash of a token as ``sha256:<hexadecimal>``.

    Tokens are long random strings, so an unsalted hash can't be reversed by guessing.
    """
    return "sha256:" + hashlib.sha256(token.encode()).hexdigest()


def authenticate(authorization_header: str | None, view: SettingsView) -> Principal:
    """Return the principal that the bearer token of a request belongs to.

    All hashes are compared in constant time, even after one has matched.

    Raises
    ------
    Unauthorized
        If the token is missing, malformed or unknown.
    """
    token_hash = hash_token(_bearer_token(authorization_header))
    principal: Principal | None = None
    for known_hash in view.fleet().operator_token_hashes:
        if hmac.compare_digest(known_hash, token_hash):
            principal = Principal(is_operator=True)
    for team in view.teams():
        for known_hash in team.token_hashes:
            if hmac.compare_digest(known_hash, token_hash) and principal is None:
                principal = Principal(team.team)
    if principal is None:
        raise Unauthorized("the bearer token is not known")
    return principal


def _bearer_token(header: str | None) -> str:
    if not header:
        raise Unauthorized("the request has no Authorization header")
    scheme, _, token = header.partition(" ")
    token = token.strip()
    if scheme.lower() != SCHEME or not token:
        raise Unauthorized("the Authorization header must have the form 'Bearer TOKEN'")
    if len(token) > MAX_TOKEN_CHARACTERS:
        raise Unauthorized(
            f"a bearer token may have at most {MAX_TOKEN_CHARACTERS} characters"
        )
    return token


def require_team(principal: Principal, team: str) -> None:
    """Check that the principal is the given team or an operator.

    Raises
    ------
    Forbidden
        If the principal is another team.
    """
    if principal.is_operator or principal.team == team:
        return
    raise Forbidden(f"team {principal.team!r} may not access data of team {team!r}")


def require_operator(principal: Principal) -> None:
    """Check that the principal is an operator of the fleet.

    Raises
    ------
    Forbidden
        If the principal is a team.
    """
    if not principal.is_operator:
        raise Forbidden(f"only operators may do this, not team {principal.team!r}")
