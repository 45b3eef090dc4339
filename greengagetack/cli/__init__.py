"""greengagetack.cli: the ``greengagetack`` command-line interface."""
