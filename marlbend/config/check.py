"""Check each service file, and all of them for conflicts."""

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
class _ServiceByKey:
    """Record which service uses each key: an endpoint or an upstream's address.

    `conflict_text` is the message for a key that two services use.
    """

    __slots__ = ('conflict_text', 'service_by_key')

    def __init__(self, conflict_text: str) -> None:
        self.conflict_text = conflict_text
        self.service_by_key: dict[str, str] = {}

    def register(self, key: str, service: str) -> Iterator[Problem]:
        """Record the service that uses a key, when the result is iterated.

        Yield a problem if another service uses the key already.
        """
        registered = self.service_by_key.setdefault(key, service)
        if registered != service:
            text = self.conflict_text.format(key=key, service=registered)
            yield Problem(service, text)


def collect_services(paths: Sequence[str]) -> Configuration:
    """Read and check service files.

    Raise SERVICE_INVALID with all problems of all files.
    """
    problems: list[Problem] = []
    specs: list[ServiceSpec] = []
    for path in paths:
        spec, file_problems = _read_service(path)
        problems.extend(_add_file_name(path, file_problems))
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
    """Yield the conflicts between services.

    These are duplicate names, and endpoints or upstream addresses that two
    services use.
    """
    yield from _find_duplicate_names(specs)
    service_by_endpoint = _ServiceByKey(error_messages.DUPLICATE_ENDPOINT)
    service_by_address = _ServiceByKey(error_messages.DUPLICATE_UPSTREAM)
    for spec in specs:
        for endpoint in _list_endpoints(spec):
            yield from service_by_endpoint.register(endpoint, spec.service)
        for upstream in spec.upstreams:
            yield from service_by_address.register(
                upstream.address, spec.service
            )


def _read_service(path: str) -> tuple[ServiceSpec | None, list[Problem]]:
    spec, problems = validate_document(read_json(path), ServiceSpec)
    if spec is not None:
        problems.extend(_check_addresses(spec))
    return spec, problems


def _find_duplicate_names(specs: Sequence[ServiceSpec]) -> Iterator[Problem]:
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
    for index, upstream in enumerate(spec.upstreams):
        yield from check_address(
            upstream.address, f'$.upstreams[{index}].address'
        )


def _add_file_name(path: str, problems: Iterable[Problem]) -> Iterator[Problem]:
    for problem in problems:
        yield Problem(f'{path}: {problem.path}', problem.text)
