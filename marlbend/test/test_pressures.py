"""Test that instances agree on the pressure of a service in contention."""

from collections.abc import Iterable
from random import Random

from marlbend.edge.peers import send_gossip_round
from marlbend.observe.control_traffic import Cause
from marlbend.steering.placement import admission, pressures
from marlbend.steering.placement.admission import AdmissionState
from marlbend.steering.placement.contention import is_in_contention
from marlbend.steering.placement.method import PlacementMethod
from marlbend.test import test_admission
from marlbend.test.simulation import patched_clock
from marlbend.test.steering import START
from marlbend.test.test_admission import INSTANCES, Try, shed_many
from marlbend.test.test_reopened_flows import Peers
from marlbend.wire import heartbeats as wire

METHODS = (PlacementMethod.REQUESTS, PlacementMethod.ADAPTIVE)


class FleetOverload(test_admission.Overload):
    """Play three domains; the first has three times the demand of another."""

    def __init__(self, *, is_cut_off: bool = False) -> None:
        super().__init__(1.6)
        self.is_cut_off = is_cut_off
        for number in range(INSTANCES):
            self.schedule(number / 4 / INSTANCES, self.send, number)
        self.run(11)
        self.shares = [self.share('admitted', 'low', ~at) for at in range(3)]

    def draw_instance(self, request: Try) -> int:
        if request.tries == 1:
            request.domain = self.random.choice((0, 0, 0, 1, 2))
        return self.random.choice(range(request.domain, INSTANCES, 3))

    def list_upstreams(self, request: Try) -> Iterable[int]:
        everywhere = super().list_upstreams(request)
        return [at for at in everywhere if self.can_reach(request.domain, at)]

    def can_reach(self, number: int, other: int) -> bool:
        return not self.is_cut_off or (not number % 3) == (not other % 3)

    def admits(self, request: Try, own: int, now: float) -> bool:
        is_admitted = super().admits(request, own, now)
        if now > test_admission.WARM_UP_SECONDS and not request.steps:
            self.counts['low', ~request.domain] += 1
            self.counts['admitted', ~request.domain] += is_admitted
        return is_admitted

    def send(self, now: float, sender: int) -> None:
        if now < 11:
            self.schedule(now + 0.25, self.send, sender)
        targets = self.random.sample(range(sender % 3, INSTANCES, 3), 3)
        for target in (*targets, self.random.randrange(INSTANCES)):
            if self.can_reach(sender, target):
                report(self.states[sender], self.states[target], now)


def report(sender: AdmissionState, target: AdmissionState, now: float) -> None:
    sent_at = now - pressures.USUAL_DELAY_SECONDS
    for update in pressures.describe_pressures(sender, sent_at):
        pressures.merge_pressure(target, update, now)


def make_state(sheds: int = 0) -> AdmissionState:
    """Return the state of an instance that admitted a flow of the service."""
    state = AdmissionState()
    test_admission.ask(state, test_admission.make_request(b'abcd'), 0)
    shed_many(state, sheds, 1)
    return state


def pressure_of(state: AdmissionState, now: float) -> float:
    return admission.find_pressure(state.by_service['catalog'], now)


def is_contended(state: AdmissionState, now: float) -> bool:
    return is_in_contention(state, 'catalog', now)


def test_domains_get_the_same_share_of_their_demand() -> None:
    """Guard against a domain that is limited for its higher demand."""
    shares = FleetOverload().shares
    assert min(shares) > 0.8 * sum(shares) / 3


def test_cut_off_domain_keeps_its_own_limit() -> None:
    """Guard against a limit that is lost, or that of others, in a partition."""
    shares = FleetOverload(is_cut_off=True).shares
    assert shares[0] < test_admission.MOSTLY_REFUSED < min(shares[1:]) / 10


def test_echoes_do_not_keep_a_pressure_alive() -> None:
    """Guard against reports as evidence, and limits that end too early."""
    random = Random(1)
    alone, *states = [make_state(25) for _ in range(13)]
    states[6:] = [make_state() for _ in range(6)]
    for step in range(1, 500):
        now = 1 + step / 48
        for target in random.sample(states[1:], 4):
            report(states[0], target, now)
        random.shuffle(states)
        found = [pressure_of(state, now) for state in states]
        # Reports are rounded to hundredths.
        assert max(found) < pressure_of(alone, now) + 0.01
        assert step != 95 or min(found) > 0.4 * pressure_of(alone, now)
    assert all(is_contended(state, 5.9) for state in states)
    assert not any(is_contended(state, 6.01) for state in states)


def test_unusable_reports() -> None:
    """Guard against unknown services, stale and forged values, one ejection."""
    state = make_state()
    updates = [('survey', 500, 0), ('catalog', 500, 951), ('catalog', 70, 0)]
    for update in updates:
        pressures.merge_pressure(state, wire.PressureUpdate(*update), 1)
    assert list(state.by_service) == ['catalog']
    assert not is_contended(state, 1)
    pressures.merge_pressure(
        state, wire.PressureUpdate('catalog', 10_000, 0), 1
    )
    assert pressure_of(state, 1) < pressure_of(make_state(1_000), 1)


def test_heartbeats_carry_the_highest_pressures() -> None:
    """Guard against long heartbeats, and limits where `requests` is set."""
    peers = Peers()
    first, second = (peers.add(name).driver.steering for name in ('n-1', 'n-2'))
    target = second.estimates.admission
    test_admission.ask(target, test_admission.make_request(b'abcd'), 0)
    for sheds, service in enumerate((*'abcdefghi', 'catalog'), start=20):
        for _ in range(sheds):
            admission.record_shed(first.estimates.admission, service, START)
    for sends, receives in ((0, 1), (1, 0), (1, 1)):
        assert not pressure_of(target, START) > 0
        first.local_instance.placement = METHODS[sends]
        second.local_instance.placement = METHODS[receives]
        with patched_clock(lambda: START):
            send_gossip_round(peers.by_name['n-1'].node, Cause.PERIODIC)
    assert pressure_of(target, START) > 1
    sender = (peers.by_name['n-1'].update,)
    malformed = (wire.PressureUpdate('s', -1, 0),)
    datagram = wire.encode_heartbeat(
        wire.Heartbeat(sender, pressures=malformed)
    )
    assert wire.decode_heartbeat(datagram) is None
