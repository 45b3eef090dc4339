"""greengagetack.routing.shared: the router and relays of one daemon."""

from greengagetack.daemons.role import Services
from greengagetack.limits.retries import RetryBudgets
from greengagetack.routing.relay import Relay
from greengagetack.routing.router import Router
from greengagetack.routing.service_relay import ServiceRelay

__all__ = ["SharedRouting"]


class SharedRouting:
    """The router and relays that the entry and owner roles of a daemon share.

    Sharing them means that each daemon collects the endpoint loads only once.
    `connect` is called once the daemon's services exist.
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
        """Cancel running probes."""
        self.router.close()
