"""greengagetack.daemons: the roles of a daemon and their assembly."""
