"""greengagetack.cli: the command line."""
