"""greengagetack.siblings: membership, dispatcher claim and calls among daemons."""
