"""Check that an odd entry of another writer affects no other entry.

Such an entry came from a host of another release, or from a program that writes
to the same place in the store.
"""

import json
import pathlib
from collections.abc import Callable

import msgspec
import pytest

from bench.store import put_object
from marlbend.config.publish import decode_configuration
from marlbend.errorcodes import ErrorKind
from marlbend.errors import MarlbendError
from marlbend.ownership.instances import decode_instances
from marlbend.platform.client import VersionedBody
from marlbend.platform.objects import decode_publication
from marlbend.platform.pages import (
    StoredObject,
    decode_changes,
    decode_object,
    decode_page,
)
from marlbend.steering.placement.choice import choose_upstream
from marlbend.test.edge import (
    Fleet,
    make_configuration,
    make_registration,
    run_with_fleet,
    wait_until,
)
from marlbend.test.steering import SteeringDriver
from marlbend.test.test_objects import make_stored
from marlbend.topics.changes import encode_changes
from marlbend.topics.contents import apply_list, encode_topic
from marlbend.topics.knowledge import Topic
from marlbend.validation import read_json
from marlbend.wire.heartbeats import (
    Heartbeat,
    MemberUpdate,
    decode_heartbeat,
    encode_heartbeat,
)

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


@pytest.mark.parametrize(
    'port',
    ['0', '-1', '65536', '9' * 20, '9' * 5000, '\N{ARABIC-INDIC DIGIT ONE}'],
)
def test_entry_with_a_port_out_of_range_does_not_stop_the_reader(
    port: str,
) -> None:
    """A number of over 4,300 digits raised an error with each read."""

    async def scenario(fleet: Fleet) -> None:
        instance = await fleet.add('n1')
        await wait_until(lambda: instance.upstreams == {'i-1'})
        await fleet.register(ODD_NAME, address=f'127.0.0.1:{port}')
        await fleet.register('i-2')
        await wait_until(lambda: instance.upstreams == GOOD_NAMES)
        started = await fleet.add('n2', store=fleet.address)
        await wait_until(lambda: started.upstreams == GOOD_NAMES)
        assert not any(task.done() for task in instance.tasks)

    run_with_fleet(scenario)


@pytest.mark.parametrize('depth', [1_100, 100_000])
def test_deeply_nested_entry_does_not_stop_the_reader(depth: int) -> None:
    async def scenario(fleet: Fleet) -> None:
        instance = await fleet.add('n1')
        await wait_until(lambda: instance.upstreams == {'i-1'})
        body = b'{"slots": ' + b'[' * depth + b']' * depth + b'}'
        await put_object(fleet.store, ('servers', ODD_NAME), body)
        await fleet.register('i-2')
        await wait_until(lambda: instance.upstreams == GOOD_NAMES)
        started = await fleet.add('n2', store=fleet.address)
        await wait_until(lambda: started.upstreams == GOOD_NAMES)

    run_with_fleet(scenario)


@pytest.mark.parametrize('decode', [decode_instances, decode_configuration])
def test_deeply_nested_object_is_malformed(
    decode: Callable[[VersionedBody], object],
) -> None:
    """It raised an error that those who read the object do not handle."""
    nested = msgspec.Raw(b'{"other": %s}' % (b'[' * 1_100 + b']' * 1_100))
    with pytest.raises(MarlbendError) as raised:
        decode(VersionedBody(1, nested))
    assert raised.value.kind is ErrorKind.MESSAGE_MALFORMED


@pytest.mark.parametrize('port', [0, -1, 65_536, 10**30])
def test_list_of_instances_with_a_port_out_of_range_is_malformed(
    port: int,
) -> None:
    """No datagram can be sent to such a port; sending raised an error."""
    listed = {
        'name': 'n1',
        'address': '127.0.0.1',
        'domain': 'a',
        'state': 'live',
        'fabric_port': 1,
        'relay_port': 1,
        'control_port': port,
        'admin_port': 1,
    }
    body = json.dumps({'instances': [listed]}).encode()
    with pytest.raises(MarlbendError):
        decode_instances(VersionedBody(1, msgspec.Raw(body)))


def test_object_whose_status_is_deeply_nested_is_read() -> None:
    """Only its `spec` is used, and reading it raised an error."""
    body = b'{"meta": {"name": "main", "rev": 3}, "spec": {}, "status": %s}'
    stored = decode_object(body % (b'[' * 1_100 + b']' * 1_100))
    assert stored.meta.rev == 3
    assert bytes(stored.spec) == b'{}'


def test_deeply_nested_heartbeat_is_malformed() -> None:
    """A field of a later release is skipped, however deeply it is nested."""
    sender = MemberUpdate('n1', ('127.0.0.1', 1), 'a', 0, can_read=True)
    datagram = bytearray(encode_heartbeat(Heartbeat((sender,))))
    # The first byte has the number of fields, an array of one begins with 0x91.
    datagram[0] += 1
    assert decode_heartbeat(bytes(datagram) + b'\x91' * 8_000 + b'\x90') is None


def test_deeply_nested_settings_are_no_json(tmp_path: pathlib.Path) -> None:
    path = tmp_path / 'settings.json'
    path.write_bytes(b'[' * 1_100 + b']' * 1_100)
    with pytest.raises(MarlbendError) as raised:
        read_json(str(path))
    assert raised.value.kind is ErrorKind.NOT_JSON
