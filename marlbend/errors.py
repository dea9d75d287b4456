"""Define the exception of marlbend, which carries a kind of error."""

from collections.abc import Sequence
from typing import final

from marlbend.errorcodes import DETAILS_BY_KIND, ErrorKind

__all__ = ('MarlbendError', 'Problem')


@final
class Problem:
    """Describe one problem in a document.

    `path` locates the problem in the document, such as
    `catalog.json: $.upstreams[2].slots`.  For a conflict between services, it
    is the name of the service.
    """

    __slots__ = ('path', 'text')

    def __init__(self, path: str, text: str) -> None:
        """Set the path and the description of the problem."""
        self.path = path
        self.text = text

    def __str__(self) -> str:
        """Return the problem on one line."""
        return f'{self.path}: {self.text}'


@final
class MarlbendError(Exception):
    """Report a failure to the user, with its kind and all problems found."""

    def __init__(
        self,
        kind: ErrorKind,
        text: str,
        problems: Sequence[Problem] = (),
    ) -> None:
        """Set the kind, the message and the problems that caused the error."""
        super().__init__(text)
        self.kind = kind
        self.text = text
        self.problems = tuple(problems)

    @property
    def exit_code(self) -> int:
        """Return the exit code of this kind of error."""
        return DETAILS_BY_KIND[self.kind].exit_code

    def __str__(self) -> str:
        """Return code, message and problems on one line."""
        code = self.kind.value
        parts = (f'error[{code}]: {self.text}', *map(str, self.problems))
        return '; '.join(parts)
