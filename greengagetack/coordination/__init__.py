"""greengagetack.coordination: membership, dispatcher claim and calls among daemons."""
