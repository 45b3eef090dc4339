"""greengagetack.cli: the command line ``greengagetack``."""
