"""Check service files one by one and as a whole."""

from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from typing import final

from marlbend import error_messages
from marlbend.config.documents import Configuration, ServiceSpec
from marlbend.errorcodes import ErrorKind
from marlbend.errors import MarlbendError, Problem
from marlbend.validation import check_address, read_json, validate_document

__all__ = ('collect_services', 'find_conflicts')


@final
class _Claims:
    """Remember which service owns each address."""

    __slots__ = ('owner_by_place', 'text')

    def __init__(self, text: str) -> None:
        self.text = text
        self.owner_by_place: dict[str, str] = {}

    def claim(self, place: str, owner: str) -> Iterator[Problem]:
        """Yield a problem if the address has an owner already."""
        known = self.owner_by_place.setdefault(place, owner)
        if known != owner:
            text = self.text.format(endpoint=place, owner=known)
            yield Problem(owner, text)


def collect_services(paths: Sequence[str]) -> Configuration:
    """Read service files; raise SERVICE_INVALID with every problem."""
    problems: list[Problem] = []
    specs: list[ServiceSpec] = []
    for path in paths:
        spec, found = _read_service(path)
        problems.extend(_prefix(path, found))
        if spec is not None:
            specs.append(spec)
    problems.extend(find_conflicts(specs))
    if not paths:
        problems.append(Problem('$', error_messages.NO_SERVICE_FILES))
    if problems:
        raise MarlbendError(
            ErrorKind.SERVICE_INVALID,
            error_messages.SERVICES_INVALID,
            problems,
        )
    specs.sort(key=lambda spec: spec.service)
    return Configuration(tuple(specs))


def find_conflicts(specs: Sequence[ServiceSpec]) -> Iterator[Problem]:
    """Yield what only shows when all services are seen together."""
    yield from _find_repeated_names(specs)
    endpoints = _Claims(error_messages.DUPLICATE_ENDPOINT)
    upstreams = _Claims(error_messages.DUPLICATE_UPSTREAM)
    for spec in specs:
        for endpoint in _list_endpoints(spec):
            yield from endpoints.claim(endpoint, spec.service)
        for upstream in spec.upstreams:
            yield from upstreams.claim(upstream.address, spec.service)


def _read_service(path: str) -> tuple[ServiceSpec | None, list[Problem]]:
    spec, problems = validate_document(read_json(path), ServiceSpec)
    if spec is not None:
        problems.extend(_check_addresses(spec))
    return spec, problems


def _find_repeated_names(specs: Sequence[ServiceSpec]) -> Iterator[Problem]:
    counts = Counter(spec.service for spec in specs)
    for name, count in counts.items():
        if count > 1:
            text = error_messages.DUPLICATE_SERVICE.format(name=name)
            yield Problem(name, text)


def _list_endpoints(spec: ServiceSpec) -> Iterator[str]:
    for address in spec.addresses:
        for port in spec.ports:
            yield f'{address}:{port}'


def _check_addresses(spec: ServiceSpec) -> Iterator[Problem]:
    for position, address in enumerate(spec.addresses):
        yield from check_address(address, f'$.addresses[{position}]')
    for place, upstream in enumerate(spec.upstreams):
        yield from check_address(
            upstream.address, f'$.upstreams[{place}].address'
        )


def _prefix(path: str, problems: Iterable[Problem]) -> Iterator[Problem]:
    for problem in problems:
        yield Problem(f'{path}: {problem.path}', problem.text)
