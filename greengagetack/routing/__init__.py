"""greengagetack.routing: routing policies and the choice of an endpoint."""
