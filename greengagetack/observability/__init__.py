"""greengagetack.observability: logs, metrics and traces."""
