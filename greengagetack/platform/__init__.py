"""greengagetack.platform: the adapter to the users' platform."""
