"""Check that an odd entry of another writer affects no other entry."""

import json

import pytest

from marlbend.platform.objects import decode_publication
from marlbend.platform.pages import StoredObject, decode_changes, decode_page
from marlbend.steering.placement.choice import choose_upstream
from marlbend.test.edge import make_configuration, make_registration
from marlbend.test.steering import SteeringDriver
from marlbend.test.test_objects import make_stored
from marlbend.topics.changes import encode_changes
from marlbend.topics.contents import apply_list, encode_topic
from marlbend.topics.knowledge import Topic

GOOD_NAMES = frozenset(('i-1', 'i-2'))
ODD_NAME = 'i-3'
# A float cannot hold the first one, a message between instances not the second
# one, and most programs not the third one.
LARGE_NUMBERS = (10**309, 2**64, 2**63)


def list_entries(odd: dict[str, object]) -> list[StoredObject]:
    """Return a page of the store with good entries around the odd one."""
    specs = {'i-1': make_registration(), ODD_NAME: odd}
    specs['i-2'] = make_registration()
    raw_items = [
        {'meta': {'name': name, 'rev': 1}, 'spec': spec}
        for name, spec in specs.items()
    ]
    body = json.dumps({'items': raw_items, 'store_revision': 1})
    return decode_page(body.encode())[0]


@pytest.mark.parametrize('field', ['slots', 'born', 'seq', 'warmup_left_ms'])
@pytest.mark.parametrize(
    'number', LARGE_NUMBERS, ids=('float', 'message', 'signed')
)
def test_entry_with_a_large_number_stops_no_service(
    field: str, number: int
) -> None:
    """The choice raised an error, so that no SYN of the service got through."""
    steering = SteeringDriver().steering
    odd = make_registration(**{field: number})
    apply_list(steering, Topic.UPSTREAMS, list_entries(odd))
    chosen = choose_upstream(steering, 'catalog', [])
    assert chosen is not None
    assert steering.pool.by_name.keys() == GOOD_NAMES
    assert encode_topic(steering, Topic.UPSTREAMS)


@pytest.mark.parametrize('field', ['slots', 'born'])
def test_entry_with_a_large_number_stops_no_change(field: str) -> None:
    """Changes of other entries could not be encoded for other instances."""
    events = [
        {'object': {'meta': {'name': name, 'rev': 1}, 'spec': spec}}
        for name, spec in (
            ('i-1', make_registration()),
            (ODD_NAME, make_registration(**{field: 2**64})),
        )
    ]
    body = json.dumps({'events': events, 'store_revision': 1})
    changes, _ = decode_changes(body.encode())
    assert encode_changes(Topic.UPSTREAMS, changes)


@pytest.mark.parametrize(
    ('usual', 'odd'),
    (
        ('"version": 3', '"version": {number}'),
        ('"kind"', '"priority": {number}, "kind"'),
        ('"max_conns": 2000', '"max_conns": {number}'),
    ),
)
def test_configuration_with_a_large_number_is_rejected(
    usual: str, odd: str
) -> None:
    """It was put in force, and could not be encoded for other instances."""
    text = json.dumps(make_configuration(3))
    assert usual in text
    text = text.replace(usual, odd.format(number=2**64))
    stored = make_stored('main', json.loads(text))
    assert decode_publication(stored) is None
