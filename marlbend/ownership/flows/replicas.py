"""Store replicas of other owners' overrides for failover.

Each owner replicates its overrides, the flows that are not on their default
upstream, to the successor of their hash slot.  When an owner is gone, the
successor moves the replicas into its own flow table before it handles packets
of that owner's flows.  All other flows of the owner are on their default
upstream, which can be computed again.

Replicas carry an epoch.  An owner starts a new epoch and sends all replicas
again when its successors change, so replicas of an older epoch are dropped.
"""

from collections.abc import Callable, Iterator
from typing import Final, final

from marlbend.ownership.active import ActiveConfig
from marlbend.ownership.flows.table import ESTABLISHED, FlowTable, record_flow
from marlbend.ownership.wire.replication import ReplicaUpdate

__all__ = (
    'Replicas',
    'apply_replica_update',
    'count_replicas',
    'promote_replicas',
)

# Limit on the replicas held for other owners.  What remains of it is applied to
# the number of groups in a message, not to their flows, so it can be exceeded.
MAX_REPLICAS: Final = 200_000


@final
class _OriginReplicas:
    """Hold the replicas from one owner in one epoch."""

    __slots__ = ('epoch', 'incarnation', 'number_by_digest')

    def __init__(self, incarnation: int, epoch: int) -> None:
        self.incarnation = incarnation
        self.epoch = epoch
        self.number_by_digest: dict[int, int] = {}


@final
class Replicas:
    """Hold the replicas by the name of the owner that sent them."""

    __slots__ = ('by_origin',)

    def __init__(self) -> None:
        """Start without replicas."""
        self.by_origin: dict[str, _OriginReplicas] = {}


def count_replicas(replicas: Replicas) -> int:
    """Return the number of replicas held for other owners."""
    return sum(
        len(origin.number_by_digest) for origin in replicas.by_origin.values()
    )


def apply_replica_update(
    replicas: Replicas,
    active: ActiveConfig,
    message: ReplicaUpdate,
) -> None:
    """Add the replicas in a message and remove those of ended flows."""
    origin = _find_origin_for_update(replicas, message)
    if origin is None:
        return
    # Each group has one or more flows.  If the limit is exceeded, the negative
    # number leaves out as many groups at the end of the message.
    group_limit = MAX_REPLICAS - count_replicas(replicas)
    for group in message.groups[:group_limit]:
        upstream = active.pool.intern(group.service, group.address, group.port)
        for digest in group.digests:
            origin.number_by_digest[digest] = upstream.number
    for ended in message.ended:
        origin.number_by_digest.pop(ended, None)


def promote_replicas(
    replicas: Replicas,
    table: FlowTable,
    is_present: Callable[[str, int], bool],
    tick: int,
) -> list[int]:
    """Move replicas of owners that are gone into the flow table.

    Return the digests of the added flows.  They are not marked as overrides
    here, so they are counted and replicated as overrides only after the next
    configuration.  `is_present` returns whether the named owner still runs as
    the incarnation that sent the replicas.
    """
    promoted: list[int] = []
    for name in tuple(replicas.by_origin):
        origin = replicas.by_origin[name]
        if not is_present(name, origin.incarnation):
            replicas.by_origin.pop(name)
            promoted.extend(_promote(origin, table, tick))
    return promoted


def _promote(
    origin: _OriginReplicas,
    table: FlowTable,
    tick: int,
) -> Iterator[int]:
    for digest, number in origin.number_by_digest.items():
        if table.find(digest) is None:
            record_flow(table, digest, number, ESTABLISHED, tick)
            yield digest


def _find_origin_for_update(
    replicas: Replicas,
    message: ReplicaUpdate,
) -> _OriginReplicas | None:
    """Return the replicas to update, or `None` for an outdated message."""
    known = replicas.by_origin.get(message.origin)
    if known is not None:
        known_epoch = (known.incarnation, known.epoch)
        if (message.incarnation, message.epoch) < known_epoch:
            return None
        if (message.incarnation, message.epoch) == known_epoch:
            return known
    origin = _OriginReplicas(message.incarnation, message.epoch)
    replicas.by_origin[message.origin] = origin
    return origin
