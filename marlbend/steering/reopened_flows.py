"""Track which upstream holds a flow whose SYN went to several.

More than one upstream may have answered such a SYN.  Each of them sends its
SYN+ACK again for some ten seconds, so a caller may echo the cookie of an
upstream that does not hold its flow.  Only the first packet after the handshake
is sure to have the right cookie, and it reaches one instance.

So that instance reports it, at once and with its next heartbeats, and an
instance that starts asks for all such flows.  An instance that sends a SYN to a
second upstream reports this as well, since the next packet may reach another.

Designed for lost SYN+ACKs, about one in a hundred, followed by a change of the
instance that gets the flow's packets.
"""

from collections.abc import Iterable, Iterator
from typing import Final, final

from marlbend.wire.heartbeats import ReopenedFlowUpdate

__all__ = (
    'HANDSHAKE_SECONDS',
    'MAX_REOPENED_FLOWS',
    'REOPENED_FLOW_SECONDS',
    'REPEAT_SECONDS',
    'ReopenedFlow',
    'ReopenedFlows',
    'add_reopened',
    'confirm_cookie',
    'expire_reopened',
    'list_latest',
    'list_unsent',
    'merge_reopened',
    'remove_reopened',
)

# Above this number the oldest flow is forgotten.  They take 0.8 MB.
MAX_REOPENED_FLOWS: Final = 4_000
# No flow is older than a minute.
REOPENED_FLOW_SECONDS: Final = 65.0
# Heartbeats repeat what became known within this time, so that it reaches all
# instances even if datagrams are lost.
REPEAT_SECONDS: Final = 2.0
# Callers give up a handshake after this long.
HANDSHAKE_SECONDS: Final = 1.4
_MILLISECONDS_PER_SECOND: Final = 1000


@final
class ReopenedFlow:
    """Hold the cookie of the upstream that holds a flow, zero until known.

    `opened_at` is when its SYN went to a second upstream, and `learned_at` when
    this instance learned of that or of the cookie, in steady seconds.
    """

    __slots__ = ('cookie', 'learned_at', 'opened_at')

    def __init__(self, opened_at: float, now: float) -> None:
        """Initialize without a cookie."""
        self.cookie = 0
        self.opened_at = opened_at
        self.learned_at = now


@final
class ReopenedFlows:
    """Hold the flows by key, and the keys of those to report at once."""

    __slots__ = ('by_key', 'unsent_keys')

    def __init__(self) -> None:
        """Initialize as empty."""
        self.by_key: dict[bytes, ReopenedFlow] = {}
        self.unsent_keys: dict[bytes, None] = {}


def add_reopened(
    flows: ReopenedFlows, key: bytes, opened_at: float, now: float
) -> ReopenedFlow:
    """Return the record of a flow; add it if there is none."""
    known = flows.by_key.get(key)
    if known is None:
        if len(flows.by_key) >= MAX_REOPENED_FLOWS:
            remove_reopened(flows, next(iter(flows.by_key)))
        known = ReopenedFlow(opened_at, now)
        flows.by_key[key] = known
        flows.unsent_keys[key] = None
    return known


def confirm_cookie(
    flows: ReopenedFlows, key: bytes, cookie: int, now: float
) -> bool:
    """Record the upstream of a flow; return whether to report it.

    It must be known from a packet that follows the handshake at once.
    """
    known = flows.by_key.get(key)
    if known is None or known.cookie:
        return False
    if now - known.opened_at > HANDSHAKE_SECONDS:
        return False
    known.cookie = cookie
    known.learned_at = now
    flows.unsent_keys[key] = None
    return True


def expire_reopened(flows: ReopenedFlows, now: float) -> None:
    """Remove the records of flows that have certainly ended."""
    for key, known in tuple(flows.by_key.items()):
        if now - known.opened_at > REOPENED_FLOW_SECONDS:
            remove_reopened(flows, key)


def list_unsent(
    flows: ReopenedFlows, limit: int, now: float
) -> Iterator[ReopenedFlowUpdate]:
    """Yield the flows to report at once, and count them as reported."""
    keys = tuple(flows.unsent_keys)[-limit:]
    flows.unsent_keys.clear()
    for key in keys:
        yield _describe(key, flows.by_key[key], now)


def list_latest(
    flows: ReopenedFlows,
    limit: int,
    now: float,
    max_age: float,
) -> Iterator[ReopenedFlowUpdate]:
    """Yield flows that this instance learned of within `max_age` seconds.

    Of more than `limit`, yield those that were added last.
    """
    count = 0
    for key, known in reversed(flows.by_key.items()):
        if count == limit:
            return
        if now - known.learned_at < max_age:
            count += 1
            yield _describe(key, known, now)


def merge_reopened(
    flows: ReopenedFlows,
    updates: Iterable[ReopenedFlowUpdate],
    now: float,
) -> Iterator[bytes]:
    """Merge the reports of an instance; yield keys whose cookie is unknown.

    The first cookie that is reported stays.
    """
    for update in updates:
        age = update.age / _MILLISECONDS_PER_SECOND
        if age <= REOPENED_FLOW_SECONDS and not _merge_update(
            flows, update, now - age, now
        ):
            yield update.key


def _merge_update(
    flows: ReopenedFlows,
    update: ReopenedFlowUpdate,
    opened_at: float,
    now: float,
) -> int:
    """Merge one update; return the cookie of the flow, zero if unknown."""
    known = flows.by_key.get(update.key)
    if known is None:
        known = add_reopened(flows, update.key, opened_at, now)
        # The sender has reported it to the others as well.
        flows.unsent_keys.pop(update.key, None)
    if update.cookie and not known.cookie:
        known.cookie = update.cookie
        known.learned_at = now
    return known.cookie


def remove_reopened(flows: ReopenedFlows, key: bytes) -> None:
    """Remove the record of a flow if there is one."""
    flows.by_key.pop(key, None)
    flows.unsent_keys.pop(key, None)


def _describe(
    key: bytes, known: ReopenedFlow, now: float
) -> ReopenedFlowUpdate:
    age = int((now - known.opened_at) * _MILLISECONDS_PER_SECOND)
    return ReopenedFlowUpdate(key, known.cookie, max(age, 0))
