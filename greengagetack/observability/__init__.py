"""greengagetack.observability: logs, metrics and traces of a daemon."""
