"""Checks of a submission that its types can't express."""

import msgspec

from .findings import Finding

__all__ = ["MAX_NESTING", "findings_of", "is_too_deep"]

MAX_NESTING = 100  # levels of arrays and objects


def findings_of(spec):
    """Returns the faults of a decoded :class:`JobSpec`, an empty tuple for none."""
    if spec.idempotent and len(spec.tasks) > 1:
        return (Finding("idempotent", "only a job of one task can be idempotent"),)
    return ()


def is_too_deep(document):
    """Tells whether valid JSON, bytes or text, nests beyond ``MAX_NESTING``.

    Deeper documents could not be read once they are wrapped in a message.
    """
    value = msgspec.json.decode(document)
    level = _containers([value])
    for _ in range(MAX_NESTING):
        if not level:
            return False
        level = [part for value in level for part in _containers_in(value)]
    return bool(level)


def _containers_in(value):
    return _containers(value.values() if isinstance(value, dict) else value)


def _containers(values):
    return [value for value in values if isinstance(value, dict | list)]
