"""greengagetack.gateway: routes callers' requests to replicas."""
