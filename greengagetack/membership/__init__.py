"""greengagetack.membership: a cell's members, keepers and shard owners."""
