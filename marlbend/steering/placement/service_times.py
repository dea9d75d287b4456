"""Estimate how long the requests of each route take to serve.

Designed for routes whose requests cost very different amounts of work, with a
heavy tail: a request that has run for long is then expected to run for long
again, which a mean alone does not show.
"""

import itertools
import math
import operator
from array import array
from bisect import bisect
from collections.abc import Iterable, Iterator
from typing import Final, final

from marlbend.wire.heartbeats import RouteTimesUpdate

__all__ = (
    'DEFAULT_SERVICE_SECONDS',
    'MIN_REQUESTS',
    'RouteTimes',
    'ServiceTimes',
    'describe_times',
    'expected_seconds',
    'is_measured',
    'merge_times',
    'record_service_time',
    'remaining_seconds',
    'seconds_by_quantile',
    'typical_seconds',
)

# The service time of a route without enough measured requests.
DEFAULT_SERVICE_SECONDS: Final = 0.05
MIN_REQUESTS: Final = 8
MAX_ROUTES: Final = 256
# Counts decay exponentially: they halve in this time.
COUNT_HALF_LIFE_SECONDS: Final = 30.0
BUCKET_COUNT: Final = 24
FIRST_BUCKET_SECONDS: Final = 0.001
BUCKET_RATIO: Final = 1.5
# The limits of the buckets; the first one also holds all shorter times, and the
# last one, which ends at 16.8 s, all longer ones.
LIMITS: Final = tuple(
    FIRST_BUCKET_SECONDS * BUCKET_RATIO**number
    for number in range(BUCKET_COUNT + 1)
)
# The middles of the buckets, from the last one.
LAST_MIDDLES: Final = tuple(
    (LIMITS[number] + LIMITS[number + 1]) / 2
    for number in reversed(range(BUCKET_COUNT))
)
# The type code of `array` for floats; 256 routes take 0.3 MB.
FLOAT_CODE: Final = 'd'
NO_TAILS: Final = array(FLOAT_CODE)
MAX_SERVICE_SECONDS: Final = 60.0
# With fewer requests that took longer than some age, the remaining time is not
# derived from them.  A weight that has decayed is never zero.
MIN_SURVIVORS: Final = 0.5
# The weight of one request grows, instead of all counts being reduced; above
# this weight they are divided by it.
MAX_UNIT: Final = 1e9
# Longer pauses decay as much as this one.
MAX_HALF_LIVES: Final = 30.0
# Decay leaves the counts the weight of this many requests, so that the first
# request after a pause does not replace the estimate.
KEPT_REQUESTS: Final = 16
# A heartbeat reports the times of this many routes, in 2.3 kB.
MAX_ROUTES_REPORTED: Final = 64
# Counts up to this number have one byte on the wire.
MAX_COUNT_REPORTED: Final = 127
# The weight of the times that another instance reports, in requests: own
# requests outweigh them soon.
REPORTED_REQUESTS: Final = 32.0
QUANTILES: Final = (0.5, 0.9, 0.99)


@final
class RouteTimes:
    """Hold the distribution of the service times of one route.

    `counts` is the weight of the requests by bucket, `weight` that of all,
    `weighted_seconds` the sum of their times and `weighted_logs` that of the
    logarithms.  `unit` is the weight that one request had at `updated_at`.
    `own_requests` is the number of requests that this instance measured.
    `mean_seconds` and `typical_seconds` are computed when counts change.
    `tail_weights` and `tail_seconds` cache the weight and the sum of the times
    in the last N buckets, by N; they are empty when counts have changed.
    """

    __slots__ = (
        'counts',
        'mean_seconds',
        'own_requests',
        'tail_seconds',
        'tail_weights',
        'typical_seconds',
        'unit',
        'updated_at',
        'weight',
        'weighted_logs',
        'weighted_seconds',
    )

    def __init__(self, now: float) -> None:
        """Initialize without a request."""
        self.counts = _make_array(itertools.repeat(0, BUCKET_COUNT))
        self.weight: float = 0
        self.weighted_seconds: float = 0
        self.weighted_logs: float = 0
        self.unit: float = 1
        self.updated_at = now
        self.own_requests = 0
        self.mean_seconds = DEFAULT_SERVICE_SECONDS
        self.typical_seconds = DEFAULT_SERVICE_SECONDS
        self.tail_weights = NO_TAILS
        self.tail_seconds = NO_TAILS


@final
class ServiceTimes:
    """Hold the distribution of the service times of each route.

    The route with the latest request is the last one.
    """

    __slots__ = ('by_endpoint',)

    def __init__(self) -> None:
        """Initialize without a measured request."""
        self.by_endpoint: dict[bytes, RouteTimes] = {}


def record_service_time(
    times: ServiceTimes, endpoint: bytes, seconds: float, now: float
) -> None:
    """Add the duration of a request that was served without queueing."""
    route = times.by_endpoint.pop(endpoint, None)
    if route is None:
        route = RouteTimes(now)
        if len(times.by_endpoint) >= MAX_ROUTES:
            times.by_endpoint.pop(next(iter(times.by_endpoint)))
    times.by_endpoint[endpoint] = route
    _decay(route, now)
    route.own_requests += 1
    clipped = min(max(seconds, FIRST_BUCKET_SECONDS), MAX_SERVICE_SECONDS)
    _add(route, _find_bucket(clipped), clipped, route.unit)
    _update_means(route)


def is_measured(times: ServiceTimes, endpoint: bytes) -> bool:
    """Return whether enough requests of a route were measured."""
    route = times.by_endpoint.get(endpoint)
    return route is not None and _has_enough(route)


def expected_seconds(times: ServiceTimes, endpoint: bytes) -> float:
    """Return the mean service time of a route, in seconds."""
    route = times.by_endpoint.get(endpoint)
    return DEFAULT_SERVICE_SECONDS if route is None else route.mean_seconds


def typical_seconds(times: ServiceTimes, endpoint: bytes) -> float:
    """Return the geometric mean of the service times of a route, in seconds.

    The logarithm of the time over this one is zero on average, whatever the
    tail is, so that the samples of `speeds` are not biased.
    """
    route = times.by_endpoint.get(endpoint)
    return DEFAULT_SERVICE_SECONDS if route is None else route.typical_seconds


def remaining_seconds(
    times: ServiceTimes, endpoint: bytes, age: float
) -> float:
    """Return the expected remaining seconds of a request of some age.

    Within a bucket the times count as evenly distributed.  Without enough
    measured requests, each request counts the same, whatever its age.
    """
    route = times.by_endpoint.get(endpoint)
    if route is None or not _has_enough(route):
        return DEFAULT_SERVICE_SECONDS
    if age <= 0:
        return route.mean_seconds
    if age >= LIMITS[-1]:
        return age
    bucket = _find_bucket(age)
    limit = LIMITS[bucket + 1]
    start = max(age, LIMITS[bucket])
    if not route.tail_weights:
        _sum_tails(route)
    later = BUCKET_COUNT - 1 - bucket
    share = (limit - start) / (limit - LIMITS[bucket])
    survivors = route.counts[bucket] * share
    weight = route.tail_weights[later] + survivors
    if weight < MIN_SURVIVORS * route.unit:
        return age
    seconds = route.tail_seconds[later] + survivors * (start + limit) / 2
    return seconds / weight - age


def seconds_by_quantile(
    times: ServiceTimes,
    endpoint: bytes,
    quantiles: Iterable[float] = QUANTILES,
) -> dict[float, float]:
    """Return the service time at each quantile, none for an unmeasured route.

    The resolution is that of the buckets.
    """
    route = times.by_endpoint.get(endpoint)
    if route is None or not _has_enough(route):
        return {}
    sums = tuple(itertools.accumulate(route.counts))
    return {
        quantile: _find_quantile(route, sums, quantile)
        for quantile in quantiles
    }


def describe_times(
    times: ServiceTimes, now: float
) -> Iterator[RouteTimesUpdate]:
    """Yield the distributions of the routes, those with late requests first.

    The counts are scaled to fit into one byte each.  They do not depend on
    `now`, as decay leaves their ratios.
    """
    measured = (
        (endpoint, route)
        for endpoint, route in reversed(times.by_endpoint.items())
        if _has_enough(route)
    )
    for endpoint, route in itertools.islice(measured, MAX_ROUTES_REPORTED):
        scale = MAX_COUNT_REPORTED / max(route.counts)
        counts = [round(count * scale) for count in route.counts]
        while not counts[-1]:
            counts.pop()
        yield RouteTimesUpdate(endpoint, tuple(counts))


def merge_times(
    times: ServiceTimes, updates: Iterable[RouteTimesUpdate], now: float
) -> None:
    """Take over the times of routes that this instance has not measured.

    Reports with fewer than `MIN_REQUESTS` are ignored, and no route is evicted
    for one.
    """
    for update in updates:
        known = times.by_endpoint.get(update.endpoint)
        if known is None and len(times.by_endpoint) >= MAX_ROUTES:
            continue
        own_requests = 0 if known is None else known.own_requests
        if own_requests < MIN_REQUESTS <= sum(update.counts):
            route = _make_route(update.counts, now)
            route.own_requests = own_requests
            times.by_endpoint[update.endpoint] = route


def _make_route(counts: tuple[int, ...], now: float) -> RouteTimes:
    route = RouteTimes(now)
    scale = REPORTED_REQUESTS / sum(counts)
    for bucket, count in enumerate(counts[:BUCKET_COUNT]):
        middle = math.sqrt(LIMITS[bucket] * LIMITS[bucket + 1])
        _add(route, bucket, middle, count * scale)
    _update_means(route)
    return route


def _make_array(numbers: Iterable[float]) -> 'array[float]':
    return array(FLOAT_CODE, numbers)


def _find_bucket(seconds: float) -> int:
    return min(max(bisect(LIMITS, seconds) - 1, 0), BUCKET_COUNT - 1)


def _has_enough(route: RouteTimes) -> bool:
    return route.weight >= MIN_REQUESTS * route.unit


def _decay(route: RouteTimes, now: float) -> None:
    """Let a request from now on weigh more than the earlier ones."""
    half_lives = (now - route.updated_at) / COUNT_HALF_LIFE_SECONDS
    if half_lives <= 0:
        return
    route.updated_at = now
    route.unit = min(
        route.unit * math.exp2(min(half_lives, MAX_HALF_LIVES)),
        max(route.weight / KEPT_REQUESTS, route.unit),
    )
    if route.unit > MAX_UNIT:
        _normalize(route)


def _normalize(route: RouteTimes) -> None:
    unit = route.unit
    route.counts = _make_array(count / unit for count in route.counts)
    route.weight /= unit
    route.weighted_seconds /= unit
    route.weighted_logs /= unit
    route.unit = 1


def _add(route: RouteTimes, bucket: int, seconds: float, weight: float) -> None:
    route.counts[bucket] += weight
    route.weight += weight
    route.weighted_seconds += weight * seconds
    route.weighted_logs += weight * math.log(seconds)


def _update_means(route: RouteTimes) -> None:
    route.tail_weights = NO_TAILS
    if _has_enough(route):
        route.mean_seconds = route.weighted_seconds / route.weight
        route.typical_seconds = math.exp(route.weighted_logs / route.weight)


def _sum_tails(route: RouteTimes) -> None:
    counts = tuple(reversed(route.counts))
    seconds = map(operator.mul, counts, LAST_MIDDLES)
    route.tail_weights = _make_array(itertools.accumulate(counts, initial=0))
    route.tail_seconds = _make_array(itertools.accumulate(seconds, initial=0))


def _find_quantile(
    route: RouteTimes, sums: tuple[float, ...], quantile: float
) -> float:
    wanted = quantile * sums[-1]
    bucket = min(bisect(sums, wanted), BUCKET_COUNT - 1)
    count = route.counts[bucket]
    share = 1 - (sums[bucket] - wanted) / count if count else 1
    return LIMITS[bucket] + share * (LIMITS[bucket + 1] - LIMITS[bucket])
