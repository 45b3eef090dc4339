"""greengagetack.daemons: roles of a daemon, its assembly and its HTTP server."""
