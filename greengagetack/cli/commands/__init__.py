"""greengagetack.cli.commands: one module per command; each registers itself."""
