"""The command line of ``banyanwheeld``."""

from .app import app

__all__ = ["app"]
