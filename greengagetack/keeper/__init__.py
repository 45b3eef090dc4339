"""greengagetack.keeper: the one gate before each endpoint."""
