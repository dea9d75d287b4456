"""Route packets between callers, instances and upstreams, and check them."""

from functools import partial

from bench.endpoints.callbacks import shorten
from bench.endpoints.callers import Caller, CallerFlow, is_valid_reset
from bench.endpoints.packets import (
    ACK,
    SYN,
    Endpoint,
    Packet,
    decode_packet,
    encode_packet,
    flow_key,
)
from bench.endpoints.upstreams import (
    COOKIE_FABRIC_PORT,
    HOST_NUMBER_BYTES,
    UpstreamServer,
    UpstreamState,
    handle_datagram,
    has_open_flow,
)
from marlbend.clock import steady_seconds
from marlbend.sockets import make_sender, open_socket, start_reading_with_sender
from soak.checker import (
    QUIET_SECONDS,
    AcceptedSyn,
    check_rejection,
    check_reset,
    check_syn,
    make_callbacks,
)
from soak.fleet import choose_instance
from soak.links import Node, transmit
from soak.run_state import WARMUP_FLOWS_PER_SECOND, Run

__all__ = ('add_caller', 'deliver_to_upstream')


def deliver_to_upstream(
    run: Run, upstream: UpstreamServer, datagram: bytes, sender: Endpoint
) -> None:
    """Transmit a datagram from an instance to an upstream."""
    instance = run.fleet.by_address.get(sender[0])
    if instance is None:
        return

    def deliver() -> None:
        name = instance.node.name
        _check_affinity(run, upstream, datagram, name)
        syn = handle_datagram(upstream, datagram)
        if syn is None:
            return
        check_syn(
            run.checker,
            AcceptedSyn(
                syn.destination,
                _find_sent_at(run, syn),
                upstream.name,
                upstream.service,
                upstream.domain,
                (name, instance.process_number),
                WARMUP_FLOWS_PER_SECOND
                if upstream.cold_until > steady_seconds()
                else 0,
            ),
        )

    transmit(
        run.fleet.links,
        instance.node,
        Node(upstream.name, upstream.domain),
        deliver,
    )


def _check_affinity(
    run: Run, upstream: UpstreamServer, datagram: bytes, name: str
) -> None:
    """Check that the named instance doesn't move an open flow."""
    packet = decode_packet(datagram[HOST_NUMBER_BYTES:])
    if packet is None or packet.flags & SYN:
        return
    key = flow_key(packet)
    for other in run.upstream_by_name.values():
        if other is not upstream and has_open_flow(other, key):
            text = f'flow {key} sent to {upstream.name}'
            check_reset(run.checker, name, other.name, text)


def _find_sent_at(run: Run, syn: Packet) -> float:
    """Return when the caller sent a SYN, zero (no time bound) if unknown."""
    for caller in run.caller_by_domain.values():
        flow = caller.flow_by_port.get(syn.source[1])
        if caller.address == syn.source[0] and flow is not None:
            # Callers number the transmissions of a SYN in this field.
            return flow.syn_sent_at[syn.acknowledged]
    return 0


def add_caller(run: Run, address: str, domain: str) -> None:
    """Set up the callers of a domain, which share one address."""
    caller_socket = open_socket(address, COOKIE_FABRIC_PORT)
    send_raw = make_sender(caller_socket, lambda: None)
    router = Node(f'router {domain}', domain)

    def send(packet: Packet) -> None:
        flow = f'{packet.source}{packet.destination}'.encode()
        pinned = run.pinned_instance_by_port.get(packet.source[1])
        instance = run.fleet.by_name.get(pinned or '')
        instance = instance or choose_instance(run.fleet, domain, flow)
        if instance is None:
            return
        target = (instance.address, COOKIE_FABRIC_PORT)
        raw = encode_packet(packet)
        transmit(
            run.fleet.links,
            router,
            instance.node,
            lambda: send_raw(raw, target),
        )

    caller = Caller(address, make_callbacks(run.checker), run.random, send)
    run.caller_by_domain[domain] = caller
    start_reading_with_sender(
        caller_socket, partial(_deliver_to_caller, run, caller), lambda: None
    )


def _deliver_to_caller(
    run: Run, caller: Caller, datagram: bytes, sender: Endpoint
) -> None:
    packet = decode_packet(datagram)
    if packet is None:
        caller.callbacks.report_violation(
            'mixed', f'{sender} sent malformed packet {shorten(datagram)}'
        )
        return
    flow = caller.flow_by_port.get(packet.destination[1])
    if flow is None or packet.source != flow.endpoint:
        return
    # Only a reset made by an instance may have an invalid checksum.
    if not packet.is_authentic and not _check_instance_reset(
        run, caller, flow, packet, sender
    ):
        return
    if packet.flags == SYN | ACK:
        if run.random.random() < run.lost_handshake_share:
            return
    # Callers echo the cookie that they received last, whoever sent it.
    if flow.opened_at:
        flow.cookie = packet.cookie
    flow.inbox.put_nowait(packet)


def _check_instance_reset(
    run: Run,
    caller: Caller,
    flow: CallerFlow,
    packet: Packet,
    sender: Endpoint,
) -> bool:
    """Check a reset by an instance; return whether callers accept it."""
    instance = run.fleet.by_address.get(sender[0])
    if instance is None or not is_valid_reset(flow, packet):
        caller.callbacks.report_violation(
            'mixed', f'{sender} sent bad reset {packet}'
        )
        return False
    if flow.opened_at:
        age = steady_seconds() - flow.opened_at
        text = f'flow from {flow.source}, open for {age} s,'
        check_reset(run.checker, instance.node.name, flow.upstream, text)
    else:
        _check_rejected_syn(run, flow.endpoint, flow.syn_sent_at[0], sender[0])
    return True


def _is_available(run: Run, upstream: UpstreamServer) -> bool:
    """Return whether every undisturbed instance must use an upstream."""
    # `cold_until` stays set after the warm-up.
    if upstream.state is not UpstreamState.READY or upstream.cold_until:
        return False
    # Without a registration it counts as gone, though it serves.
    if upstream.name in run.unregistered:
        return False
    checker = run.checker
    quiet = checker.disturbances.is_quiet(QUIET_SECONDS, upstream.name)
    return quiet and upstream.domain not in run.domains_out


def _check_rejected_syn(
    run: Run, endpoint: Endpoint, sent_at: float, sender: str
) -> None:
    """Check a rejected SYN if the route's service has an upstream available."""
    instance = run.fleet.by_address[sender]
    newest = run.checker.releases[-1]
    service = newest.service_by_endpoint.get(endpoint)
    same_service = (
        each
        for each in run.upstream_by_name.values()
        if each.service == service
    )
    if not any(_is_available(run, each) for each in same_service):
        return
    process_key = (instance.node.name, instance.process_number)
    check_rejection(run.checker, endpoint, sent_at, process_key)
