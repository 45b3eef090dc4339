"""greengagetack.membership: who is in a cell and who owns what."""
