"""Decode objects as the operator and the upstreams write them."""

import json

import msgspec
import pytest

from marlbend.platform.objects import StoredObject, decode_publication
from marlbend.test.edge import make_configuration


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
