"""greengagetack.daemons.lead: the role that makes a VM a candidate for cell lead."""

from greengagetack.daemons.role import Role, role
from greengagetack.membership.directory import CellDirectory

__all__ = ["LeadRole"]


@role
class LeadRole(Role):
    """Makes the VM a candidate for lead; the directory does the lead's work."""

    name = "lead"

    async def start(self) -> None:
        """Allow this VM to acquire the lead's lease."""
        directory = self.services.directory
        if isinstance(directory, CellDirectory):
            directory.become_candidate()

    async def drain(self) -> None:
        """Release the lead's lease."""
        directory = self.services.directory
        if isinstance(directory, CellDirectory):
            await directory.stop_leading()
