"""Carry packets between callers, instances and upstreams, and judge them."""

from functools import partial

from bench.endpoints.callbacks import shorten
from bench.endpoints.callers import Caller, is_valid_reset
from bench.endpoints.packets import (
    SYN,
    Endpoint,
    Packet,
    decode_packet,
    encode_packet,
    flow_key,
)
from bench.endpoints.upstreams import (
    FABRIC_PORT,
    HOST_NUMBER_BYTES,
    HostState,
    UpstreamHost,
    handle_datagram,
    has_open_flow,
)
from marlbend.clock import steady_seconds
from marlbend.sockets import make_sender, open_socket, start_reading_senders
from soak.fleet import choose_instance
from soak.judge import (
    CONTACT_SECONDS,
    Arrival,
    judge_opening,
    judge_refusal,
    judge_reset,
    make_witness,
)
from soak.links import Place, carry
from soak.world import COLD_RATE, World

__all__ = ('join_caller', 'reach_host')


def reach_host(
    world: World, host: UpstreamHost, datagram: bytes, sender: Endpoint
) -> None:
    """Carry a datagram from an instance to an upstream."""
    instance = world.fleet.by_address.get(sender[0])
    if instance is None:
        return

    def deliver() -> None:
        name = instance.place.name
        _judge_way(world, host, datagram, name)
        opening = handle_datagram(host, datagram)
        if opening is None:
            return
        judge_opening(
            world.judge,
            Arrival(
                opening.destination,
                _find_sent(world, opening),
                host.name,
                host.service,
                host.domain,
                (name, instance.incarnation),
                COLD_RATE if host.cold_until > steady_seconds() else 0,
            ),
        )

    carry(
        world.fleet.links,
        instance.place,
        Place(host.name, host.domain),
        deliver,
    )


def _judge_way(
    world: World, host: UpstreamHost, datagram: bytes, name: str
) -> None:
    """Judge that a packet of an open flow goes to the upstream that has it."""
    packet = decode_packet(datagram[HOST_NUMBER_BYTES:])
    if packet is None or packet.flags & SYN:
        return
    key = flow_key(packet)
    for other in world.host_by_name.values():
        if other is not host and has_open_flow(other, key):
            text = f'{key} sent to {host.name}'
            judge_reset(world.judge, name, other.name, text)


def _find_sent(world: World, opening: Packet) -> float:
    """Return when the caller sent an opening packet, zero if unknown."""
    for caller in world.caller_by_domain.values():
        flow = caller.flow_by_port.get(opening.source[1])
        if caller.address == opening.source[0] and flow is not None:
            return flow.syn_sent_at[opening.acknowledged]
    return 0


def join_caller(world: World, address: str, domain: str) -> None:
    """Set up the callers of a domain behind one address."""
    end = open_socket(address, FABRIC_PORT)
    send_raw = make_sender(end, lambda: None)
    router = Place(f'router {domain}', domain)

    def send(packet: Packet) -> None:
        flow = f'{packet.source}{packet.destination}'.encode()
        forced = world.forced_by_port.get(packet.source[1])
        instance = world.fleet.by_name.get(forced or '')
        instance = instance or choose_instance(world.fleet, domain, flow)
        if instance is None:
            return
        target = (instance.address, FABRIC_PORT)
        raw = encode_packet(packet)
        carry(
            world.fleet.links,
            router,
            instance.place,
            lambda: send_raw(raw, target),
        )

    caller = Caller(address, make_witness(world.judge), world.random, send)
    world.caller_by_domain[domain] = caller
    start_reading_senders(
        end, partial(_reach_caller, world, caller), lambda: None
    )


def _reach_caller(
    world: World, caller: Caller, datagram: bytes, sender: Endpoint
) -> None:
    packet = decode_packet(datagram)
    if packet is None:
        caller.callbacks.report_violation(
            'mixed', f'{sender} sent {shorten(datagram)}'
        )
        return
    flow = caller.flow_by_port.get(packet.destination[1])
    if flow is None or packet.source != flow.endpoint:
        return
    if not packet.is_authentic:
        instance = world.fleet.by_address.get(sender[0])
        if instance is None or not is_valid_reset(flow, packet):
            caller.callbacks.report_violation(
                'mixed', f'{sender} wrote {packet}'
            )
            return
        if flow.opened_at:
            age = steady_seconds() - flow.opened_at
            text = f'{flow.source} after {age}'
            judge_reset(world.judge, instance.place.name, flow.upstream, text)
        else:
            _judge_refused(world, flow.endpoint, flow.syn_sent_at[0], sender[0])
    flow.inbox.put_nowait(packet)


def _is_spare(world: World, host: UpstreamHost) -> bool:
    """Tell whether an upstream is sure to be known and to take flows."""
    if host.state is not HostState.READY or host.cold_until:
        return False
    judge = world.judge
    calm = judge.peace.holds(CONTACT_SECONDS, host.name)
    return calm and host.domain not in world.domains_out


def _judge_refused(
    world: World, endpoint: Endpoint, sent_at: float, sender: str
) -> None:
    """Judge a refusal where the route's service has upstreams to spare."""
    instance = world.fleet.by_address[sender]
    newest = world.judge.releases[-1]
    service = newest.service_by_endpoint.get(endpoint)
    same_service = (
        host for host in world.host_by_name.values() if host.service == service
    )
    if not any(_is_spare(world, host) for host in same_service):
        return
    incarnation = (instance.place.name, instance.incarnation)
    judge_refusal(world.judge, endpoint, sent_at, incarnation)
