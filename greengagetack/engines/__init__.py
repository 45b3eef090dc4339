"""greengagetack.engines: protocol adapters for model engines and plain services."""

from greengagetack.engines import openai, plain
from greengagetack.engines.base import ADAPTERS, EngineAdapter, adapter, make_adapter

__all__ = ["ADAPTERS", "EngineAdapter", "adapter", "make_adapter", "openai", "plain"]
