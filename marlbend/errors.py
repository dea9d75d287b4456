"""Raise errors that carry a kind from the closed list."""

from collections.abc import Sequence
from typing import final

from marlbend.errorcodes import ANSWERS, ErrorKind

__all__ = ('MarlbendError', 'Problem')


@final
class Problem:
    """Point at one fault in a file.

    `path` is the place inside the document, such as
    `catalog.json: upstreams[2].slots`.
    """

    __slots__ = ('path', 'text')

    def __init__(self, path: str, text: str) -> None:
        """Keep the place and what is wrong there."""
        self.path = path
        self.text = text

    def __str__(self) -> str:
        """Show the problem on one line."""
        return f'{self.path}: {self.text}'


@final
class MarlbendError(Exception):
    """Stop the work at hand for a reason the user should hear."""

    def __init__(
        self,
        kind: ErrorKind,
        text: str,
        problems: Sequence[Problem] = (),
    ) -> None:
        """Keep the kind, the message and every problem behind it."""
        super().__init__(text)
        self.kind = kind
        self.text = text
        self.problems = tuple(problems)

    @property
    def exit_code(self) -> int:
        """Return the exit code that the table gives for this kind."""
        return ANSWERS[self.kind].exit_code

    def __str__(self) -> str:
        """Show the code and the message on one line."""
        code = self.kind.value
        parts = (f'error[{code}]: {self.text}', *map(str, self.problems))
        return '; '.join(parts)
