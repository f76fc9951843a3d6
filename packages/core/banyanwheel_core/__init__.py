"""What the daemons and the command line share: documents, errors, the language."""

from .documents import ConfigurationDocument, JobDocument, QueueDocument, StepDocument
from .errors import BanyanwheelError, FindingsError
from .findings import Finding
from .ids import is_job_id, new_job_id

__all__ = [
    "BanyanwheelError",
    "ConfigurationDocument",
    "Finding",
    "FindingsError",
    "JobDocument",
    "QueueDocument",
    "StepDocument",
    "is_job_id",
    "new_job_id",
]
