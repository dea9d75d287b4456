"""Play a crowd against simulated upstreams and look at what callers get."""

import heapq
from collections import Counter
from random import Random

from marlbend.test.steering import SteeringDriver

SLOTS = 4
UPSTREAMS = 5
WORK = 0.05
TARGET = 0.25
# The upstreams together bear 400 requests a second.
USUAL = 200.0
CROWD = 800.0


class Crowd:
    """Hold the simulation: requests in work and in queues, and their times."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.play = SteeringDriver()
        for route in ('north', 'south'):
            self.play.route(route, 'catalog')
            self.play.target(route, str(TARGET))
        for number in range(UPSTREAMS):
            self.play.upstream(f'a{number}', 'catalog', 'a')
        self.ends: list[tuple[float, int, str, str]] = []
        self.waiting: dict[str, list[str]] = {}
        self.busy: Counter[str] = Counter()
        self.came: dict[str, float] = {}
        self.latencies: list[tuple[float, float]] = []
        self.refused: Counter[str] = Counter()
        self.asked: Counter[str] = Counter()

    def run(self, rate: float, seconds: float) -> None:
        """Let requests come at a rate, each on a flow of its own."""
        until = self.play.now + seconds
        while self.play.now < until:
            self.pass_time(self.random.expovariate(rate))
            self.ask(f'{len(self.came):06}')

    def pass_time(self, seconds: float) -> None:
        """Move the clock to each end of work on the way."""
        until = self.play.now + seconds
        while self.ends and self.ends[0][0] <= until:
            at, _, flow, upstream = heapq.heappop(self.ends)
            self.play.advance(at - self.play.now)
            self.finish(flow, upstream)
        self.play.advance(max(until - self.play.now, 0))

    def ask(self, flow: str) -> None:
        """Open a flow and send a request on it."""
        route = self.random.choice(('north', 'south'))
        self.came[flow] = self.play.now
        self.asked[route] += 1
        self.play.sent.clear()
        self.play.open(flow, route)
        upstream = self.play.sent[-1]
        if upstream == 'reset':
            self.refused[route] += 1
            return
        self.play.establish(flow)
        self.play.send_data(flow)
        if self.busy[upstream] < SLOTS:
            self.start(flow, upstream)
        else:
            self.waiting.setdefault(upstream, []).append(flow)

    def start(self, flow: str, upstream: str) -> None:
        """Put a request to work."""
        self.busy[upstream] += 1
        end = self.play.now + WORK * self.random.lognormvariate(0, 0.3)
        heapq.heappush(self.ends, (end, len(self.ends), flow, upstream))

    def finish(self, flow: str, upstream: str) -> None:
        """Answer a request; the next one of the queue starts."""
        self.busy[upstream] -= 1
        came = self.came[flow]
        self.latencies.append((came, self.play.now - came))
        self.play.ack(flow)
        self.play.fin(flow)
        if self.waiting.get(upstream):
            self.start(self.waiting[upstream].pop(0), upstream)


def test_those_that_are_let_in_are_served_in_time() -> None:
    crowd = Crowd(1)
    crowd.run(USUAL, 2)
    assert not crowd.refused
    started = crowd.play.now
    crowd.run(CROWD, 4)
    served = [late for came, late in crowd.latencies if came > started + 0.5]
    assert sum(late <= TARGET for late in served) >= 0.95 * len(served)
    # Refusing keeps nobody idle: most of what can be borne is.
    assert len(served) >= 0.9 * 400 * 3.5


def test_refusals_fall_on_both_organisations_alike() -> None:
    crowd = Crowd(2)
    crowd.run(USUAL, 2)
    crowd.run(CROWD, 5)
    north, south = (
        100 * crowd.refused[route] // crowd.asked[route]
        for route in ('north', 'south')
    )
    assert north > 30
    assert abs(north - south) <= 5


def test_nothing_is_refused_when_the_crowd_has_gone() -> None:
    crowd = Crowd(3)
    crowd.run(USUAL, 2)
    crowd.run(CROWD, 4)
    crowd.run(USUAL, 1)
    before = sum(crowd.refused.values())
    crowd.run(USUAL, 3)
    assert sum(crowd.refused.values()) == before
    after = [
        late for came, late in crowd.latencies if came > crowd.play.now - 3
    ]
    assert max(after) < TARGET
