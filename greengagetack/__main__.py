"""greengagetack.__main__: ``python -m greengagetack``."""

from greengagetack.cli.main import main

main(prog_name="greengagetack")
