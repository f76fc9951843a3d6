"""The command line, apart from the work that it asks for."""

from .app import app

__all__ = ["app"]
