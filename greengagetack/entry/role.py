"""greengagetack.entry.role: the role that serves HTTP routes on a daemon."""

from greengagetack.daemons.role import Role, role

__all__ = ["EntryRole"]


@role
class EntryRole(Role):
    """Marks a daemon whose HTTP application has the routes of all parts."""

    name = "entry"
