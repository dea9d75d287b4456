"""Test what requests cost at the upstreams of the soak, without processes."""

import asyncio
import pathlib
import socket
from random import Random

import pytest

from bench.endpoints.packets import ACK, Packet, encode_packet, flow_key
from bench.endpoints.upstreams import UpstreamFlow, handle_datagram
from bench.store import Store
from soak import checker, fleet, links, run_state, wiring
from soak.schedule import Step
from soak.upstreams import slow_upstream


@pytest.mark.parametrize('by_work', [False, True])
def test_costs_differ_by_route_only_by_work_also_after_slow_steps(
    monkeypatch: pytest.MonkeyPatch, *, by_work: bool
) -> None:
    """Guards against equal costs, and steps that leave an upstream slow."""
    delays: list[float] = []
    network = links.Links(Random(1))
    tracker = checker.Checker(links.DisturbanceTracker())
    processes = fleet.Fleet('127.0', pathlib.Path(), tracker, network)
    processes.places_by_work = by_work
    run = run_state.Run(Store(), processes, Random(1))

    async def send_requests() -> None:
        for domain in run_state.DOMAINS:
            await wiring.start_upstream(run, 'catalog', domain)
        # Both steps slow the same upstream.
        steps = [Step(0, 'slow_upstream', each, 1) for each in (0, 0.01)]
        tasks = [slow_upstream(run, each, Random(1)) for each in steps]
        await asyncio.gather(*tasks)
        loop = asyncio.get_running_loop()
        monkeypatch.setattr(loop, 'call_later', lambda *_: delays.append(_[0]))
        for upstream in run.upstream_by_name.values():
            for endpoint in run_state.SERVICE_SECONDS_BY_ENDPOINT:
                packet = Packet(ACK, endpoint, endpoint, payload=b'safe')
                flow = UpstreamFlow(flow_key(packet), 0, 0, is_open=True)
                upstream.flow_by_key[flow.key] = flow
                handle_datagram(upstream, bytes(8) + encode_packet(packet))

    with socket.socket(type=socket.SOCK_DGRAM) as unbound:
        monkeypatch.setattr(wiring, 'open_socket', lambda *_: unbound)
        monkeypatch.setattr(wiring, 'start_reading_with_sender', print)
        asyncio.run(send_requests())
    by_route = [0.055, 0.072, 0.005, 0.005]
    costs = by_route if by_work else [0.01 for _ in by_route]
    assert delays == [*costs, *costs, *costs]
