"""The tree of errors that banyanwheel raises."""

__all__ = [
    "BanyanwheelError",
    "FindingsError",
    "ChartError",
    "ListenError",
]


class BanyanwheelError(Exception):
    """Base of every error that this project raises; its text is one line."""


class ChartError(BanyanwheelError):
    """A state chart file that is malformed, or a step that a chart forbids."""


class ListenError(BanyanwheelError):
    """An address that this process can't listen on."""


class FindingsError(BanyanwheelError):
    """Input with one or more faults, reported together.

    ``findings`` is a tuple of :class:`banyanwheel_core.findings.Finding`.
    """

    def __init__(self, findings):
        self.findings = tuple(findings)
        super().__init__("; ".join(str(finding) for finding in self.findings))
