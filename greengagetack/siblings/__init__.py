"""greengagetack.siblings: how the daemons behind an object store find each other."""
