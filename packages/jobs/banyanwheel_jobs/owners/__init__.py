"""Decisions about jobs and their tasks, at the dispatcher that has them."""
