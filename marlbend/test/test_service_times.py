"""Estimate service times and speeds, without a network and a clock."""

from collections.abc import Iterator
from random import Random

import msgspec
import pytest

from marlbend.edge.peers import receive_heartbeat
from marlbend.steering.placement.method import PlacementMethod
from marlbend.steering.placement.service_times import (
    DEFAULT_SERVICE_SECONDS,
    MAX_ROUTES,
    MIN_REQUESTS,
    ServiceTimes,
    describe_times,
    expected_seconds,
    is_measured,
    merge_times,
    record_service_time,
    remaining_seconds,
    seconds_by_quantile,
)
from marlbend.steering.placement.speeds import (
    MAX_SLOWDOWN,
    MIN_SLOWDOWN,
    REPORT_MAX_AGE_SECONDS,
    Speed,
    add_pending,
    describe_speed,
    find_slowdown,
    list_recent_reports,
    record_speed,
)
from marlbend.steering.reports import PeerReport
from marlbend.test.simulation import patched_clock
from marlbend.test.steering import SteeringDriver
from marlbend.test.test_reopened_flows import Peer, Peers
from marlbend.wire.heartbeats import (
    Heartbeat,
    RouteTimesUpdate,
    decode_heartbeat,
    encode_heartbeat,
)

ROUTE = b'web...'
START = 1000.0
FEW = MIN_REQUESTS - 1
SERVICE_SECONDS = 0.05
TAIL_SHARE = 0.03
TAIL_FACTOR = 7
# Slowdowns that placement reacts to, and that it hardly notices.
SLOW = 1.8
FAST = 1.2
REQUESTS, WORK, ADAPTIVE = PlacementMethod


def make_times(*samples: float, now: float = START) -> ServiceTimes:
    times = ServiceTimes()
    for seconds in samples:
        record_service_time(times, ROUTE, seconds, now)
    return times


def draw_heavy_tail(count: int) -> Iterator[float]:
    """Draw times of which 3% are seven times as long."""
    random = Random(1)
    for _ in range(count):
        factor = TAIL_FACTOR if random.random() < TAIL_SHARE else 1
        yield factor * SERVICE_SECONDS * random.lognormvariate(0, 0.2)


def test_remaining_time_grows_with_age_in_a_heavy_tail() -> None:
    """A mean alone tells that an old request is nearly complete.

    The buckets, each 1.5 times the one before, allow for a third of error.
    """
    samples = tuple(draw_heavy_tail(2000))
    times = make_times(*samples)
    mean = sum(samples) / len(samples)
    assert remaining_seconds(times, ROUTE, 0) == pytest.approx(mean)
    for age in (0.03, 0.12, 0.25):
        rest = [seconds - age for seconds in samples if seconds > age]
        true_mean = sum(rest) / len(rest)
        estimate = remaining_seconds(times, ROUTE, age)
        assert estimate == pytest.approx(true_mean, rel=0.33)
    assert remaining_seconds(times, ROUTE, 0.12) > 3 * mean
    median, _, tail = seconds_by_quantile(times, ROUTE).values()
    assert median == pytest.approx(SERVICE_SECONDS, rel=0.1)
    assert tail == pytest.approx(TAIL_FACTOR * SERVICE_SECONDS, rel=0.25)


def test_request_beyond_all_buckets_is_expected_to_take_as_long_again() -> None:
    times = make_times(*(0.05 for _ in range(100)))
    assert remaining_seconds(times, ROUTE, 1) == 1
    assert remaining_seconds(times, ROUTE, 90) == 90
    record_service_time(times, ROUTE, 4, START)
    assert 2 < remaining_seconds(times, ROUTE, 1) < 4


def test_few_requests_are_not_used() -> None:
    """A first request in the tail would mislead placement and refusals."""
    times = make_times(*(2.0 for _ in range(FEW)))
    assert not is_measured(times, ROUTE)
    assert expected_seconds(times, ROUTE) == DEFAULT_SERVICE_SECONDS
    assert remaining_seconds(times, ROUTE, 9) == DEFAULT_SERVICE_SECONDS
    assert not seconds_by_quantile(times, ROUTE)
    assert not tuple(describe_times(times, START))
    record_service_time(times, ROUTE, 2, START + 600)
    assert is_measured(times, ROUTE)
    assert expected_seconds(times, ROUTE) == pytest.approx(2)


def test_counts_halve_within_the_half_life_also_over_days() -> None:
    times = make_times(*(0.1 for _ in range(64)))
    for _ in range(32):
        record_service_time(times, ROUTE, 0.4, START + 30)
    assert expected_seconds(times, ROUTE) == pytest.approx(0.25)
    for second in range(86_400):
        record_service_time(times, ROUTE, 0.02, START + second)
    assert expected_seconds(times, ROUTE) == pytest.approx(0.02)
    assert len(seconds_by_quantile(times, ROUTE)) == 3


def test_one_request_after_a_long_pause_does_not_replace_the_estimate() -> None:
    times = make_times(*(0.1 for _ in range(500)))
    record_service_time(times, ROUTE, 7, START + 86_400)
    assert expected_seconds(times, ROUTE) < 1
    assert is_measured(times, ROUTE)


def test_routes_are_bounded_and_the_least_recent_one_is_evicted() -> None:
    times = ServiceTimes()
    for number in range(MAX_ROUTES + 1):
        record_service_time(times, number.to_bytes(6), 0.1, START + number)
        record_service_time(times, bytes(6), 0.1, START + number)
    assert len(times.by_endpoint) == MAX_ROUTES
    assert bytes(6) in times.by_endpoint
    assert (1).to_bytes(6) not in times.by_endpoint


def test_absurd_durations_are_clipped() -> None:
    times = make_times(*(1e9 for _ in range(20)))
    assert expected_seconds(times, ROUTE) == pytest.approx(60)
    short = make_times(*(-1.0 for _ in range(20)))
    assert expected_seconds(short, ROUTE) == pytest.approx(0.001)


def test_absurd_reports_are_rejected_or_clipped() -> None:
    """They must not crash the receiver, nor outweigh its own requests."""
    sender = Peers().add('n-1').update
    for counts in ((-1,), (1_000_001,), (9,) * 25, (0.5,)):
        update = RouteTimesUpdate(ROUTE, counts)  # type: ignore[arg-type]
        heartbeat = Heartbeat((sender,), route_times=(update,))
        assert decode_heartbeat(encode_heartbeat(heartbeat)) is None
    times = ServiceTimes()
    empty = (RouteTimesUpdate(ROUTE, counts) for counts in ((), (0,), (7,)))
    merge_times(times, empty, START)
    assert not times.by_endpoint
    last = RouteTimesUpdate(ROUTE, (*(0 for _ in range(23)), 1_000_000))
    merge_times(times, (last,), START)
    assert 11 < expected_seconds(times, ROUTE) < 17
    for number in range(1, 1000):
        other = RouteTimesUpdate(number.to_bytes(6), (9,))
        merge_times(times, (other,), START)
    assert len(times.by_endpoint) == MAX_ROUTES
    for _ in range(100):
        record_service_time(times, ROUTE, 0.1, START)
    merge_times(times, (last,), START)
    assert expected_seconds(times, ROUTE) < 4


def restart(*methods: PlacementMethod, is_former: bool = False) -> ServiceTimes:
    """Let an instance start, and get the times of another one in a reply."""
    peers = Peers()
    old, new = peers.add('n-1'), peers.add('n-2')
    for peer, method in zip((old, new), methods, strict=True):
        peer.driver.steering.local_instance.placement = method
    estimates = old.driver.steering.estimates
    estimates.service_times = make_times(*draw_heavy_tail(500))
    if is_former:
        old.node.send = lambda datagram, _: receive_heartbeat(
            new.node, cut_new_fields(datagram), old.endpoint
        )
    request = Heartbeat((new.update,), reply_requested=True)
    with patched_clock(lambda: START):
        receive_heartbeat(old.node, encode_heartbeat(request), new.endpoint)
    assert is_known(new, 'n-1')
    return new.driver.steering.estimates.service_times


def cut_new_fields(datagram: bytes) -> bytes:
    """Return a heartbeat as the former release encodes it."""
    return msgspec.msgpack.encode(msgspec.msgpack.decode(datagram)[:8])


def is_known(peer: Peer, name: str) -> bool:
    return name in peer.node.gossip.members.by_name


@pytest.mark.parametrize('method', [WORK, ADAPTIVE])
def test_estimates_survive_a_restart(method: PlacementMethod) -> None:
    """An instance that starts would count each request alike."""
    before = make_times(*draw_heavy_tail(500))
    after = restart(method, method)
    for age in (0, 0.03, 0.12):
        assert remaining_seconds(after, ROUTE, age) == pytest.approx(
            remaining_seconds(before, ROUTE, age), rel=0.1
        )


def test_other_deployments_and_the_former_release_send_no_times() -> None:
    assert not restart(REQUESTS, WORK).by_endpoint
    assert not restart(WORK, REQUESTS).by_endpoint
    former = restart(WORK, WORK, is_former=True)
    assert not former.by_endpoint


def serve(
    driver: SteeringDriver, seconds: str, size: str = '2000', flow: str = 'f1'
) -> None:
    """Complete a request that takes some time."""
    driver.send_data(flow)
    driver.wait(seconds)
    driver.callers[flow].acknowledged += int(size)
    driver.send(flow)


def make_driver(method: PlacementMethod = WORK) -> tuple[SteeringDriver, Speed]:
    driver = SteeringDriver()
    driver.steering.local_instance.placement = method
    driver.route('web', 'catalog')
    driver.upstream('a1', 'catalog', 'a')
    driver.open('f1', 'web')
    driver.establish('f1')
    for _ in range(20):
        serve(driver, '0.05')
    return driver, driver.steering.pool.by_name['a1'].work.speed


def test_slow_upstream_is_found_and_later_found_fast_again() -> None:
    driver, speed = make_driver()
    driver.upstream('a2', 'catalog', 'a')
    driver.open('f2', 'web')
    driver.establish('f2')
    other = driver.steering.pool.by_name['a2'].work.speed
    ratios = []
    for seconds in ('0.05', '0.25', '0.05'):
        until = driver.now + 4
        while driver.now < until:
            serve(driver, seconds)
            serve(driver, '0.05', flow='f2')
        slowdown = find_slowdown(speed, (), driver.now)
        ratios.append(slowdown / find_slowdown(other, (), driver.now))
    assert ratios[0] == pytest.approx(1, rel=0.05)
    assert ratios[1] > SLOW
    assert ratios[2] < FAST


def test_nothing_is_recorded_without_placement_by_work() -> None:
    driver, speed = make_driver(REQUESTS)
    assert not driver.steering.estimates.service_times.by_endpoint
    assert not speed.weight


def test_upstream_that_sheds_requests_does_not_look_fast() -> None:
    """Its errors at once would attract even more requests."""
    driver, speed = make_driver()
    for _ in range(20):
        serve(driver, '0.002', '120')
        serve(driver, '0.05')
    times = driver.steering.estimates.service_times
    assert expected_seconds(times, ROUTE) == pytest.approx(0.05, rel=0.1)
    assert find_slowdown(speed, (), driver.now) == pytest.approx(1, rel=0.05)


def test_response_with_a_short_first_part_is_measured() -> None:
    """Its first part alone looks like an error."""
    driver = make_driver()[0]
    route = driver.steering.estimates.service_times.by_endpoint[ROUTE]
    measured = route.own_requests
    serve(driver, '0.3', '100')
    assert route.own_requests == measured
    driver.callers['f1'].acknowledged += 1900
    driver.send('f1')
    driver.fin('f1')
    assert route.own_requests == measured + 1


def test_one_slow_request_in_a_tail_does_not_look_slow_for_long() -> None:
    speed = Speed()
    record_speed(speed, 0.35, 0.05, START)
    assert find_slowdown(speed, (), START) < SLOW
    assert find_slowdown(speed, (), START + 6) < FAST


def test_request_in_progress_counts_before_its_response() -> None:
    speed = Speed()
    young, old = (0.04, 0.05), (0.3, 0.05)
    assert add_pending(speed, (young,), START) is speed
    pending = add_pending(speed, (young, old, old, old), START)
    assert find_slowdown(pending, (), START) > 2
    assert not speed.weight


def test_speed_is_bounded_with_absurd_samples_and_reports() -> None:
    assert find_slowdown(Speed(), (), START) == 1
    slow, fast = Speed(), Speed()
    for _ in range(1000):
        record_speed(slow, 1e9, 0.05, START)
        record_speed(fast, 0, 0.05, START)
    record_speed(slow, 1, 0, START)
    assert describe_speed(slow, START)[0] == pytest.approx(7)
    assert find_slowdown(fast, (), START) == MIN_SLOWDOWN
    reports = tuple((1e4, 1e6) for _ in range(50))
    assert 15 < find_slowdown(Speed(), reports, START) <= MAX_SLOWDOWN
    assert find_slowdown(Speed(), ((0, 5), (-1, 5), (2, -3)), START) == 1


def test_reports_of_few_samples_each_add_up_while_they_are_recent() -> None:
    """Each of many instances sees too few requests to find a slow upstream."""
    speed = Speed()
    record_speed(speed, 0.25, 0.05, START)
    report = PeerReport(START, 1)
    report.slowdown = describe_speed(speed, START)[0]
    report.samples = describe_speed(speed, START)[1]
    for age, is_found in ((0, True), (REPORT_MAX_AGE_SECONDS + 0.1, False)):
        recent = list_recent_reports((report,) * 10, START + age)
        slowdown = find_slowdown(speed, recent, START + age)
        assert (slowdown > SLOW) == is_found
