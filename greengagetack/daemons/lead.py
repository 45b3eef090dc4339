"""greengagetack.daemons.lead: the role that lets a VM become its cell's lead."""

from greengagetack.daemons.role import Role, role
from greengagetack.membership.directory import CellDirectory

__all__ = ["LeadRole"]


@role
class LeadRole(Role):
    """Stands for lead while it runs; the directory does the lead's work."""

    name = "lead"

    async def start(self) -> None:
        """Let this VM take the lead's lease."""
        directory = self.services.directory
        if isinstance(directory, CellDirectory):
            directory.become_candidate()

    async def drain(self) -> None:
        """Give the lead's lease back."""
        directory = self.services.directory
        if isinstance(directory, CellDirectory):
            await directory.stop_leading()
