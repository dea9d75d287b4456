"""Decode objects as the operator and the upstreams write them."""

import json

import msgspec
import pytest

from marlbend.platform.objects import decode_publication, decode_upstream
from marlbend.platform.pages import StoredObject
from marlbend.test.edge import make_configuration, make_registration


@pytest.mark.parametrize(
    ('kind', 'repeatable'),
    (
        ('safe', True),
        ('download', True),
        ('unsafe', False),
        ('upload', False),
        ('of-a-later-release', False),
    ),
)
def test_requests_of_a_route_are_repeated_only_if_idempotent(
    kind: str, repeatable: bool
) -> None:
    configuration = json.dumps(make_configuration(1)).replace('safe', kind)
    body = f'{{"meta": {{"name": "main"}}, "spec": {configuration}}}'
    stored = msgspec.json.decode(body, type=StoredObject)
    publication = decode_publication(stored)
    assert publication is not None
    assert publication.routes[0].repeatable is repeatable


@pytest.mark.parametrize(
    'missing', ['version', 'seq', 'warmup_left_ms', 'slots', 'state', 'zone']
)
def test_entry_with_missing_fields_names_no_upstream(missing: str) -> None:
    """Such an entry gave flows of one service to an upstream of another."""
    registration = make_registration()
    registration.pop(missing)
    assert decode_upstream(make_stored('i-00c0ffee', registration)) is None


def test_entry_of_host_number_zero_names_no_upstream() -> None:
    """Every upstream accepts datagrams for number zero, also a foreign one."""
    registration = make_registration()
    assert decode_upstream(make_stored('i-1', registration)) is not None
    assert decode_upstream(make_stored('spare-0', registration)) is None


def make_stored(name: str, spec: object) -> StoredObject:
    """Return an object as the store sends it."""
    body = json.dumps({'meta': {'name': name}, 'spec': spec})
    return msgspec.json.decode(body, type=StoredObject)
