"""greengagetack.leases: leases, promises and fencing numbers."""
