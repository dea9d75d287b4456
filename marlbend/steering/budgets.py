"""Limit what an instance spends on reactions to trouble.

A reaction such as a heartbeat about an upstream that does not respond takes
bandwidth and processor time from callers' packets.  Without a limit it can
cause the silences that set it off, and so itself.  So each kind of reaction has
a token bucket, filled at a rate that depends on the link and the processor
share of the instance alone: not on the number of instances or upstreams, nor on
how much fails.  What exceeds a bucket waits for the next periodic heartbeat or
for the caller's next packet.

Designed for many upstreams that fail or are replaced at once, behind links that
their callers share with the heartbeats of hundreds of instances.
"""

from typing import Final, final

__all__ = (
    'Budgets',
    'TokenBucket',
    'count_affordable',
    'make_budgets',
    'seconds_until_available',
    'spend',
    'spend_any',
)

# Shares of the link, in bytes per second of the bytes that it carries.  With
# the periodic heartbeats, which take 2% of a link of 10 Mbit/s, they leave two
# thirds of it to callers.
URGENT_LINK_SHARE: Final = 0.02
CHANGE_LINK_SHARE: Final = 0.05
REPLY_LINK_SHARE: Final = 0.02
REOPENED_LINK_SHARE: Final = 0.01
TOPIC_LINK_SHARE: Final = 0.2
# Shares of the instance's part of a core, and the processor time of a call.
REOPEN_PROCESSOR_SHARE: Final = 0.1
REOPEN_SECONDS: Final = 0.0001
FETCH_PROCESSOR_SHARE: Final = 0.1
FETCH_SECONDS: Final = 0.002
MIN_FETCHES_PER_SECOND: Final = 4.0
# A bucket holds what comes in in this time, but at least one round of long
# heartbeats: with less, a slow link would never send any.
BURST_SECONDS: Final = 1.0
MIN_BURST_BYTES: Final = 16_000
_BYTES_PER_MEGABIT: Final = 125_000


@final
class TokenBucket:
    """Hold how much may be spent at once, in bytes or calls.

    `rate` is what is added per second, up to `capacity`.  `available` is the
    level at `updated_at`, in steady seconds; it is negative after more was
    spent than there was.
    """

    __slots__ = ('available', 'capacity', 'rate', 'updated_at')

    def __init__(self, rate: float, capacity: float) -> None:
        """Start full."""
        self.rate = rate
        self.capacity = capacity
        self.available = capacity
        self.updated_at: float = 0


@final
class Budgets:
    """Hold the budget of each reaction of one instance.

    In bytes: `urgent` heartbeats, heartbeats for `changes` and for `reopened`
    flows, `replies` in full to instances that have just started, and `topics`
    served.  In calls: `fetches` from other instances, and `reopenings`, SYNs
    sent to a further upstream.
    """

    __slots__ = (
        'changes',
        'fetches',
        'reopened',
        'reopenings',
        'replies',
        'topics',
        'urgent',
    )

    def __init__(
        self, link_bytes_per_second: float, processor_share: float
    ) -> None:
        """Derive the budgets from a link and a share of a core."""
        self.urgent = _make_byte_bucket(
            link_bytes_per_second * URGENT_LINK_SHARE
        )
        self.changes = _make_byte_bucket(
            link_bytes_per_second * CHANGE_LINK_SHARE
        )
        self.replies = _make_byte_bucket(
            link_bytes_per_second * REPLY_LINK_SHARE
        )
        self.reopened = _make_byte_bucket(
            link_bytes_per_second * REOPENED_LINK_SHARE
        )
        self.topics = _make_byte_bucket(
            link_bytes_per_second * TOPIC_LINK_SHARE
        )
        self.reopenings = _make_call_bucket(
            processor_share * REOPEN_PROCESSOR_SHARE / REOPEN_SECONDS
        )
        self.fetches = _make_call_bucket(
            max(
                processor_share * FETCH_PROCESSOR_SHARE / FETCH_SECONDS,
                MIN_FETCHES_PER_SECOND,
            )
        )


def make_budgets(link_megabits: float, processor_share: float) -> Budgets:
    """Return the budgets for a link in Mbit/s and a share of a core."""
    return Budgets(link_megabits * _BYTES_PER_MEGABIT, processor_share)


def spend(bucket: TokenBucket, amount: float, now: float) -> bool:
    """Take an amount if all of it is available; return whether it was."""
    _refill(bucket, now)
    if amount > bucket.available:
        return False
    bucket.available -= amount
    return True


def spend_any(bucket: TokenBucket, amount: float, now: float) -> bool:
    """Take an amount if anything is available, even if it is less.

    For what cannot be divided and may exceed the capacity of the bucket.  The
    debt is at most the capacity.
    """
    _refill(bucket, now)
    if bucket.available <= 0:
        return False
    bucket.available = max(bucket.available - amount, -bucket.capacity)
    return True


def count_affordable(bucket: TokenBucket, amount: float, now: float) -> int:
    """Return how many times an amount is available."""
    _refill(bucket, now)
    return max(int(bucket.available // amount), 0)


def seconds_until_available(bucket: TokenBucket, now: float) -> float:
    """Return the time until something is available, zero if it is now."""
    _refill(bucket, now)
    return max(-bucket.available / bucket.rate, 0)


def _refill(bucket: TokenBucket, now: float) -> None:
    added = max(now - bucket.updated_at, 0) * bucket.rate
    bucket.available = min(bucket.available + added, bucket.capacity)
    bucket.updated_at = now


def _make_byte_bucket(rate: float) -> TokenBucket:
    return TokenBucket(rate, max(rate * BURST_SECONDS, MIN_BURST_BYTES))


def _make_call_bucket(rate: float) -> TokenBucket:
    return TokenBucket(rate, rate * BURST_SECONDS)
