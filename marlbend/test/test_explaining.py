"""Explain where a flow would go, without sending or recording anything."""

import asyncio

import msgspec
import pytest

from marlbend.cli.explaining import fetch_explanation
from marlbend.edge.explaining import explain_flow, make_explain_handler
from marlbend.errors import MarlbendError
from marlbend.http import serve_http
from marlbend.test.test_opening import Overload
from marlbend.test.test_reopened_flows import Peers
from marlbend.wire import EXPLAIN_PATH
from marlbend.wire.status import FlowExplanation

CALLER = bytes((100, 64, 0, 7))
CONTROL = ('127.9.6.1', 6071)


def explain(driver: Overload, route: str = 'web') -> FlowExplanation:
    endpoint = driver.routes[route].endpoint
    explanation = explain_flow(driver.steering, endpoint, CALLER)
    assert explanation is not None
    return explanation


def test_explanation_has_each_term_and_changes_nothing() -> None:
    driver = Overload()
    driver.upstream('b1', 'catalog', 'b', 'cold=5', 'slots=2')
    driver.load(4)
    explanation = explain(driver)
    assert (explanation.verdict, explanation.reason) == ('admit', 'room')
    assert explanation.cost_ms == pytest.approx(50, rel=0.1)
    assert explanation.flow_ms == explanation.cost_ms
    first, second = explanation.candidates
    assert (first.name, first.work_ms, first.busy) == ('b1', 0, 0)
    assert (first.is_cold, first.is_remote) == (True, True)
    assert (second.name, second.work_ms, second.busy) == ('a1', 200, 4)
    assert not driver.sent
    assert not driver.steering.estimates.admission.counts


def test_explanation_tells_why_a_flow_is_refused() -> None:
    driver = Overload()
    driver.load(40)
    explanation = explain(driver)
    assert explanation.verdict == 'refuse'
    assert explanation.reason == 'no room in time'
    assert explanation.allowed_ms == 400
    driver.end('a1')
    assert explain(driver).reason == 'no upstream'
    assert explain_flow(driver.steering, bytes(6), CALLER) is None


def test_tool_names_the_unknown_route_address_and_instance() -> None:
    """An empty answer would look like a flow that goes nowhere."""

    async def ask(endpoint: str, caller: str) -> str:
        handlers = make_explain_handler(Peers().add('n-1').node)
        server = await serve_http(CONTROL, handlers)
        try:
            report = await fetch_explanation(CONTROL, endpoint, caller)
        except MarlbendError as error:
            return str(error)
        finally:
            server.close()
        return next(report.lines())

    # The route of the peers has the address and port of these letters.
    known = '98.46.46.46:30565'
    assert 'admit (room)' in asyncio.run(ask(known, ''))
    assert 'no route' in asyncio.run(ask('198.18.0.1:443', ''))
    assert 'found nonsense' in asyncio.run(ask('nonsense', ''))
    assert 'found me' in asyncio.run(ask(known, 'me'))
    with pytest.raises(MarlbendError, match='no response'):
        asyncio.run(fetch_explanation(CONTROL, known, ''))


def test_malformed_queries_are_rejected() -> None:
    respond = make_explain_handler(Peers().add('n-1').node)[EXPLAIN_PATH]
    queries = ('', 'endpoint=1.2.3.4', 'endpoint=1.2.3.4:99999', 'a=b&&=')
    assert {respond(query)[0] for query in queries} == {400}
    status, _, body = respond('endpoint=98.46.46.46:30565&caller=1.2.3.4')
    assert status == 200
    assert msgspec.json.decode(body)['method'] == 'requests'
