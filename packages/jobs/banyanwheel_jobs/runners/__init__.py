"""Decisions about the runs on one worker, at its runner."""
