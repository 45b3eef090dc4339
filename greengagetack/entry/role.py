"""greengagetack.entry.role: the role that enables the HTTP routes of a daemon."""

from greengagetack.daemons.role import Role, role

__all__ = ["EntryRole"]


@role
class EntryRole(Role):
    """Marks a daemon that serves all registered HTTP routes."""

    name = "entry"
