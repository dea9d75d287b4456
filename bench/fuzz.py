"""Feed mutated bytes to every decoder of an instance.

    python -m bench.fuzz --seed N --inputs N

A decoder may reject bytes with one of its documented errors only.  The last
line printed is a JSON object with the number of inputs by decoder, and the
first unexpected errors.  The exit status is 1 if there was any.
"""

import argparse
import json
import sys
from collections import Counter
from collections.abc import Callable, Mapping
from random import Random
from types import MappingProxyType
from typing import Final

import msgspec

from bench.documents import (
    describe_configuration,
    describe_route,
    describe_upstream,
)
from marlbend.platform.header import decode_packet
from marlbend.platform.objects import decode_publication, decode_upstream
from marlbend.platform.pages import decode_changes, decode_page
from marlbend.steering.documents import UpstreamEntry
from marlbend.topics.contents import decode_topic
from marlbend.topics.knowledge import Topic
from marlbend.topics.unlisted import decode_unlisted
from marlbend.wire.compression import compress, decompress
from marlbend.wire.heartbeats import (
    Heartbeat,
    MemberUpdate,
    PressureUpdate,
    ReopenedFlowUpdate,
    RouteTimesUpdate,
    TopicChanges,
    TopicRevision,
    UpstreamUpdate,
    decode_heartbeat,
    encode_heartbeat,
)

__all__ = ('FuzzReport', 'feed_decoders')

MAX_MUTATIONS: Final = 6
SHOWN_ERRORS: Final = 5
BYTE_VALUES: Final = 256
PACKET_BYTES: Final = 36
FLOW_KEY: Final = b'\x64\x40\x00\x07\x9c\x41\x01\xbb\xc6\x12\x00\x01'
DEFAULT_INPUTS: Final = 100_000

Decode = Callable[[bytes], object]
_GOOD_ENTRY: Final = b'{"meta": {"name": "h-1"}}'
_SamplesByName = Mapping[str, tuple[bytes, ...]]

DOCUMENTED_ERRORS: Final = (
    msgspec.DecodeError,
    UnicodeDecodeError,
    RecursionError,
)


class FuzzReport(msgspec.Struct, frozen=True):
    """Report the inputs by decoder, and the first unexpected errors."""

    inputs_by_decoder: dict[str, int]
    errors: list[str]


def feed_decoders(seed: int, inputs: int) -> FuzzReport:
    """Feed mutated samples to all decoders in turn."""
    random = Random(seed)
    counts: Counter[str] = Counter()
    errors: list[str] = []
    names = sorted(DECODER_BY_NAME)
    for number in range(inputs):
        name = names[number % len(names)]
        body = _mutate(random, random.choice(SAMPLES_BY_NAME[name]))
        counts[name] += 1
        error = _find_error(DECODER_BY_NAME[name], body)
        if error and len(errors) < SHOWN_ERRORS:
            errors.append(f'{name}: {error}: {body.hex()}')
    return FuzzReport(dict(counts), errors)


def _find_error(decode: Decode, body: bytes) -> str:
    """Return the unexpected error of a decoder, '' without one."""
    try:
        decode(body)
    except DOCUMENTED_ERRORS:
        return ''
    except Exception as error:
        return repr(error)
    return ''


def _mutate(random: Random, sample: bytes) -> bytes:
    """Replace, insert, remove or repeat some bytes."""
    body = sample
    for _ in range(random.randint(1, MAX_MUTATIONS)):
        start = random.randrange(len(body) + 1)
        end = start + random.randrange(MAX_MUTATIONS)
        cut = body[start:end]
        new = random.choice((random.randbytes(end - start), cut + cut, b''))
        body = b''.join((body[:start], new, body[end:]))
    return body


def _decode_page_with_entry(body: bytes) -> None:
    """Check that an entry of any bytes without quotes hides no other one."""
    entry = body.replace(b'"', b'').rstrip(b'\\')
    page = b'{"items": [%s, {"meta": {"name": "%s"}, "spec": "%s"}]}'
    names = [
        stored.meta.name
        for stored in decode_page(page % (_GOOD_ENTRY, b'x-1', entry))[0]
    ]
    if 'h-1' not in names:
        raise ValueError(names)


def _decode_page_fully(body: bytes) -> None:
    for stored in decode_page(body)[0]:
        decode_publication(stored)
        decode_upstream(stored)


def _decode_changes_fully(body: bytes) -> None:
    for stored, _ in decode_changes(body)[0]:
        decode_publication(stored)
        decode_upstream(stored)


def _make_decoder(topic: Topic) -> Decode:
    return lambda body: decode_topic(topic, body)


def _make_page() -> bytes:
    configuration = describe_configuration(
        3, [describe_route(('198.18.0.1', 443), 'catalog')], {'catalog': 2}
    )
    upstream = describe_upstream('catalog', ('127.0.0.1', 9), 'a')
    stored = [
        {'meta': {'name': 'main', 'rev': 5}, 'spec': configuration},
        {'meta': {'name': 'h-1', 'rev': 6}, 'spec': upstream},
    ]
    page = {'items': stored, 'store_revision': 7, 'has_more': False}
    return json.dumps(page).encode()


def _make_changes() -> bytes:
    page = json.loads(_make_page())
    events = [{'object': each, 'deleted': False} for each in page['items']]
    return json.dumps({'events': events, 'store_revision': 7}).encode()


def _make_heartbeat() -> bytes:
    member = MemberUpdate('n2', ('127.0.0.1', 2), 'a', 0, can_read=True)
    return encode_heartbeat(
        Heartbeat(
            (member,),
            (TopicRevision(1, 5, 2, era=1, clock=7, confirmed_at=9),),
            (UpstreamUpdate(1, 2, 3, 4, 5),),
            changes=(TopicChanges(1, 4, 5, b'\x80'),),
            reopened_flows=(ReopenedFlowUpdate(FLOW_KEY, 7, 5),),
            route_times=(RouteTimesUpdate(FLOW_KEY[6:], (0, 127, 90, 1)),),
            pressures=(PressureUpdate('catalog', 7, 5),),
        )
    )


DECODER_BY_NAME: Final[Mapping[str, Decode]] = MappingProxyType(
    {
        'changes': _decode_changes_fully,
        'compressed': decompress,
        'heartbeat': decode_heartbeat,
        'entry': _decode_page_with_entry,
        'packet': decode_packet,
        'page': _decode_page_fully,
        'topic configuration': _make_decoder(Topic.CONFIGURATION),
        'topic domains': _make_decoder(Topic.DOMAINS_OUT),
        'topic upstreams': _make_decoder(Topic.UPSTREAMS),
        'unlisted': decode_unlisted,
    }
)
_UPSTREAMS: Final = msgspec.msgpack.encode(
    [
        UpstreamEntry(
            name='h-1',
            service='catalog',
            address=('127.0.0.1', 9),
            domain='a',
            slots=4,
            accepting=True,
            cold_seconds=1,
            born=5,
        )
    ]
)
SAMPLES_BY_NAME: Final[_SamplesByName] = MappingProxyType(
    {
        'changes': (_make_changes(),),
        'compressed': (compress(_make_page()),),
        'heartbeat': (_make_heartbeat(),),
        'entry': (b'v1', json.dumps('\ud83d').encode(), b'{[{[{['),
        'packet': (bytes(PACKET_BYTES), bytes(range(PACKET_BYTES))),
        'page': (_make_page(),),
        'topic configuration': (
            msgspec.msgpack.encode(
                {'version': 1, 'routes': [], 'limits_by_service': {}}
            ),
        ),
        'topic domains': (msgspec.msgpack.encode(['a', 'b']),),
        'topic upstreams': (_UPSTREAMS,),
        'unlisted': (msgspec.msgpack.encode((2, True, (), (), (), {'a': 1})),),
    }
)


def run() -> None:
    """Feed the decoders, and print the report."""
    parser = argparse.ArgumentParser(prog='python -m bench.fuzz')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--inputs', type=int, default=DEFAULT_INPUTS)
    arguments = parser.parse_args()
    report = feed_decoders(arguments.seed, arguments.inputs)
    encoded = msgspec.json.encode(report).decode()
    sys.stdout.write(f'{encoded}\n')
    sys.exit(bool(report.errors))


if __name__ == '__main__':
    run()
