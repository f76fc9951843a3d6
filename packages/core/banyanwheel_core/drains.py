"""What a drain can name."""

from enum import StrEnum

__all__ = ["DrainKind"]


class DrainKind(StrEnum):
    """What a drain names."""

    WORKER = "worker"
    RACK = "rack"
    DATA_CENTRE = "data-centre"
