"""greengagetack: a rollout service for reinforcement learning."""

__all__ = ["__version__"]

__version__ = "0.1.0"
