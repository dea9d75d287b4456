"""Decode pages of the store in which one entry cannot be decoded.

One writer's bytes kept all instances from learning of any later change.
"""

import json

import pytest
from hypothesis import given, strategies

from marlbend.platform.objects import decode_upstream
from marlbend.platform.pages import decode_changes, decode_page
from marlbend.platform.splitting import split_elements, split_members
from marlbend.test.edge import make_registration

DEPTH = 1_100
TEXTS = strategies.text(r',:[]{}"\ a', max_size=4)
DOCUMENTS = strategies.recursive(
    strategies.none() | strategies.integers() | TEXTS,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(TEXTS, inner, max_size=3)
    ),
    max_leaves=8,
)
BAD_SPECS = (
    json.dumps(make_registration(version='v1-\ud83d')).encode(),
    b'{"slots": ' + b'[' * DEPTH + b']' * DEPTH + b'}',
    b'{"slots": ' + b'9' * 400 + b'}',
    b'{"version": "\xff\xfe"}',
    b'["an", "array"]',
    rb'{"version": "unknown escape \q"}',
)


@pytest.mark.parametrize('spec', BAD_SPECS)
def test_entry_that_cannot_be_decoded_hides_no_other_entry(
    spec: bytes,
) -> None:
    page = b'{"items": [%s, %s, %s], "store_revision": 7}' % (
        make_object('i-1'),
        make_object('i-2', spec),
        make_object('i-3'),
    )
    stored, revision, has_more = decode_page(page)
    names = [each.meta.name for each in stored if decode_upstream(each)]
    assert (names, revision, has_more) == (['i-1', 'i-3'], 7, False)


@pytest.mark.parametrize('spec', BAD_SPECS)
def test_change_that_cannot_be_decoded_hides_no_other_change(
    spec: bytes,
) -> None:
    """Its name stays known, so that its former entry is no longer used."""
    body = b'{"events": [%s, %s, %s], "store_revision": 9}' % (
        b'{"object": %s, "deleted": true}' % make_object('i-1'),
        b'{"object": %s, "deleted": false}' % make_object('i-2', spec),
        b'{"object": %s}' % make_object('i-3'),
    )
    changes, revision = decode_changes(body)
    assert revision == 9
    found = [(stored.meta.name, deleted) for stored, deleted in changes]
    assert found == [('i-1', True), ('i-2', False), ('i-3', False)]
    assert decode_upstream(changes[1][0]) is None


@given(strategies.lists(DOCUMENTS, max_size=3))
def test_elements_of_any_array_are_split(elements: list[object]) -> None:
    text = json.dumps(elements).encode()
    assert [json.loads(each) for each in split_elements(text)] == elements


@given(strategies.dictionaries(TEXTS, DOCUMENTS, max_size=3))
def test_members_of_any_object_are_split(members: dict[str, object]) -> None:
    text = json.dumps(members).encode()
    found = {
        json.loads(b'"%s"' % name): json.loads(member)
        for name, member in split_members(text).items()
    }
    assert found == members


@given(strategies.binary())
def test_any_bytes_are_split_without_an_error(text: bytes) -> None:
    assert isinstance(split_members(text), dict)
    assert isinstance(list(split_elements(text)), list)


def make_object(name: str, spec: bytes = b'') -> bytes:
    """Return the text of an object, by default a valid registration."""
    spec = spec or json.dumps(make_registration()).encode()
    return b'{"meta": {"name": "%s"}, "spec": %s}' % (name.encode(), spec)
