"""Runs commands line by line."""

from prompt_toolkit import PromptSession
from prompt_toolkit.completion import Completer, Completion
from prompt_toolkit.history import FileHistory, InMemoryHistory

from banyanwheel_core.errors import BanyanwheelError
from banyanwheel_core.language import parse, suggest, unfinished_word

from ..errors import InterruptionError
from ..status import ExitStatus

__all__ = ["LanguageCompleter", "Prompt"]

HISTORY_FILE = "history"
PROMPT_TEXT = "banyanwheel> "


class LanguageCompleter(Completer):
    """Completes the words of the language."""

    def get_completions(self, document, complete_event):
        """Yields the words that may stand at the cursor."""
        text = document.text_before_cursor
        for word in suggest(text):
            yield Completion(word, start_position=-len(unfinished_word(text)))


class Prompt:
    """Reads commands until the end of the input and executes each."""

    def __init__(self, run):
        self._run = run

    def run(self):
        """Executes every line; an error is printed and the next line read.

        Returns OK to a person, and to a script the status of its last failed line.
        """
        status = ExitStatus.OK
        for line in self._lines():
            if line.strip():
                status = self._execute(line) or status
        return ExitStatus.OK if self._interactive else status

    @property
    def _interactive(self):
        return self._run.environment.stdin.isatty()

    def _execute(self, line):
        try:
            return self._run.execute(parse(line))
        except BanyanwheelError as error:
            if isinstance(error, InterruptionError) and not self._interactive:
                raise
            self._run.printer.error(error)
            return getattr(error, "status", ExitStatus.USAGE)

    def _lines(self):
        if not self._interactive:
            yield from self._run.environment.stdin
            return
        session = PromptSession(
            PROMPT_TEXT,
            history=_history(self._run.environment.config_directory),
            completer=LanguageCompleter(),
        )
        while True:
            try:
                yield session.prompt()
            except KeyboardInterrupt:
                continue
            except EOFError:
                return


def _history(directory):
    try:
        directory.mkdir(parents=True, exist_ok=True)
        path = directory / HISTORY_FILE
        path.touch()
    except OSError:
        return InMemoryHistory()
    return FileHistory(str(path))
