"""features.support.settings_documents: settings used by the features."""

from typing import Any

from greengagetack.daemons.auth import hash_token

__all__ = ["OPERATOR_TOKEN", "fleet_value", "team_token", "team_value"]

OPERATOR_TOKEN = "ggt_operator-token"


def team_token(team: str) -> str:
    """Return the bearer token of a team in the features."""
    return f"ggt_{team}-token"


def fleet_value(**changes: Any) -> dict[str, Any]:
    """Return plain settings of a fleet with one engine and one service."""
    value: dict[str, Any] = {
        "endpoints": [
            {
                "endpoint_id": "e1",
                "kind": "engine",
                "name": "summariser",
                "adapter": "openai",
                "url": "http://10.0.0.1:8000",
                "availability_zone": "a",
            }
        ],
        "models": [{"name": "summariser"}],
        "services": [{"name": "booking"}],
        "operator_token_hashes": [hash_token(OPERATOR_TOKEN)],
    }
    value.update(changes)
    return value


def team_value(team: str, **changes: Any) -> dict[str, Any]:
    """Return plain settings of a team."""
    value: dict[str, Any] = {
        "token_hashes": [hash_token(team_token(team))],
        "models": ["summariser"],
        "policies": [{"model": "summariser", "max_staleness_versions": 1}],
    }
    value.update(changes)
    return value
