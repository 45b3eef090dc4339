"""greengagetack.routing.frontdoor: one router with its relays for a whole daemon."""

from greengagetack.daemons.role import Services
from greengagetack.limits.retries import RetryBudgets
from greengagetack.routing.relay import Relay
from greengagetack.routing.router import Router
from greengagetack.routing.service_relay import ServiceRelay

__all__ = ["FrontDoor"]


class FrontDoor:
    """What entry and owner share, so that each daemon learns loads once.

    `connect` is called when the daemon's services exist.
    """

    router: Router
    relay: Relay
    service_relay: ServiceRelay

    def connect(self, services: Services) -> None:
        """Build the router and the relays."""
        budgets = RetryBudgets(services.settings)
        self.router = Router(services)
        self.relay = Relay(self.router, budgets)
        self.service_relay = ServiceRelay(self.router, budgets)

    def close(self) -> None:
        """Stop probing."""
        self.router.close()
