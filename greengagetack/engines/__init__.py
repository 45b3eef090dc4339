"""greengagetack.engines: adapters to the interfaces of endpoints."""
