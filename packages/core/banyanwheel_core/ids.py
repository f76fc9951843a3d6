"""Names that callers give their jobs."""

import re
import secrets

__all__ = ["is_job_id", "new_job_id"]

ID_BYTES = 8
_PATTERN = re.compile(rf"[0-9a-f]{{{2 * ID_BYTES}}}")


def is_job_id(text):
    """Tells whether ``text`` may name a job: 16 hexadecimal digits."""
    return _PATTERN.fullmatch(text) is not None


def new_job_id():
    """Returns a name that nobody has used, but for a negligible chance."""
    return secrets.token_hex(ID_BYTES)
