"""Keep copies of other homes' departures, for the day they are gone.

Each home copies the flows that depart from their default to the heir of their
slot.  When a home is gone, its heir takes the copies into its own table before
it serves; all other flows of that home are computed again.

Copies carry an epoch.  A home starts a new one when its heirs change and sends
everything again, so copies of an older epoch are dropped.
"""

from collections.abc import Callable, Iterator
from typing import Final, final

from marlbend.homes.active import ActiveConfig
from marlbend.homes.flows.table import ESTABLISHED, FlowTable, record_flow
from marlbend.homes.wire.replication import ReplicaUpdate

__all__ = ('Replicas', 'adopt_orphans', 'count_replicas', 'take_copies')

# Beyond this many copies new ones are refused.
HIGHEST_REPLICAS: Final = 200_000


@final
class _Origin:
    """Hold the copies of one home in one epoch."""

    __slots__ = ('epoch', 'incarnation', 'number_by_digest')

    def __init__(self, incarnation: int, epoch: int) -> None:
        self.incarnation = incarnation
        self.epoch = epoch
        self.number_by_digest: dict[int, int] = {}


@final
class Replicas:
    """Hold the copies by the name of the home they came from."""

    __slots__ = ('by_origin',)

    def __init__(self) -> None:
        """Start without copies."""
        self.by_origin: dict[str, _Origin] = {}


def count_replicas(replicas: Replicas) -> int:
    """Return how many flows are held for others."""
    return sum(
        len(origin.number_by_digest) for origin in replicas.by_origin.values()
    )


def take_copies(
    replicas: Replicas,
    active: ActiveConfig,
    message: ReplicaUpdate,
) -> None:
    """Add the copies that a home sends and drop those that ended."""
    origin = _find_origin(replicas, message)
    if origin is None:
        return
    room = HIGHEST_REPLICAS - count_replicas(replicas)
    for group in message.groups[:room]:
        upstream = active.pool.intern(group.service, group.address, group.port)
        for digest in group.digests:
            origin.number_by_digest[digest] = upstream.number
    for ended in message.ended:
        origin.number_by_digest.pop(ended, None)


def adopt_orphans(
    replicas: Replicas,
    table: FlowTable,
    is_present: Callable[[str, int], bool],
    tick: int,
) -> list[int]:
    """Take the copies of homes that are gone; return their digests.

    `is_present` tells whether the home of a name still has the incarnation
    that sent the copies.
    """
    adopted: list[int] = []
    for name in tuple(replicas.by_origin):
        origin = replicas.by_origin[name]
        if not is_present(name, origin.incarnation):
            replicas.by_origin.pop(name)
            adopted.extend(_adopt(origin, table, tick))
    return adopted


def _adopt(origin: _Origin, table: FlowTable, tick: int) -> Iterator[int]:
    for digest, number in origin.number_by_digest.items():
        if table.find(digest) is None:
            record_flow(table, digest, number, ESTABLISHED, tick)
            yield digest


def _find_origin(replicas: Replicas, message: ReplicaUpdate) -> _Origin | None:
    """Return the copies to change, or nothing for a message out of date."""
    known = replicas.by_origin.get(message.origin)
    if known is not None:
        age = (known.incarnation, known.epoch)
        if (message.incarnation, message.epoch) < age:
            return None
        if (message.incarnation, message.epoch) == age:
            return known
    origin = _Origin(message.incarnation, message.epoch)
    replicas.by_origin[message.origin] = origin
    return origin
