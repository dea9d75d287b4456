"""Decide on upstreams after a return of the store, without a network."""

from marlbend.clock import steady_seconds
from marlbend.edge.maintenance import restore_domains
from marlbend.steering import Upstream
from marlbend.steering.state import OUT_INDEFINITELY
from marlbend.steering.upstream_expiry import expire_upstreams
from marlbend.steering.upstreams import (
    MISSING_SECONDS,
    REWRITE_SECONDS,
    UpstreamPool,
    mark_missing,
    register_upstream,
)
from marlbend.steering.upstreams_restored import (
    add_unregistered,
    hold_entry,
    is_held,
    list_confirmed_entries,
    lose_registration,
    release_absent,
    restore_entry,
)
from marlbend.test.steering import SteeringDriver, make_entry
from marlbend.topics.contents import apply_topic
from marlbend.topics.knowledge import Topic

START = 1000.0
RETURNED_AT = START + 1.5
ENTRY = make_entry('a1', 'catalog', 'a')


def make_pool(*options: str) -> UpstreamPool:
    pool = UpstreamPool()
    entry = make_entry('a1', 'catalog', 'a', options)
    register_upstream(pool, entry, START)
    return pool


def list_ended(pool: UpstreamPool, now: float) -> list[Upstream]:
    """Expire with a store that has answered all the time."""
    return list(expire_upstreams(pool, now, (START - 100, now)))


def test_upstream_missing_before_a_return_is_not_ended_right_after_it() -> None:
    pool = make_pool()
    mark_missing(pool, 'a1', START)
    lose_registration(pool, 'a1', RETURNED_AT)
    assert not list_ended(pool, RETURNED_AT + REWRITE_SECONDS - 0.1)
    assert list_ended(pool, RETURNED_AT + REWRITE_SECONDS + 0.1)


def test_missing_upstream_that_the_copy_has_is_not_ended_but_used_again() -> (
    None
):
    pool = make_pool()
    mark_missing(pool, 'a1', START)
    assert restore_entry(pool, ENTRY, RETURNED_AT) is None
    kept_at = RETURNED_AT + REWRITE_SECONDS + 0.1
    assert not list_ended(pool, kept_at)
    assert list(list_confirmed_entries(pool, kept_at)) == [ENTRY]


def test_upstream_lost_in_two_returns_may_write_again_after_the_second() -> (
    None
):
    pool = make_pool()
    lose_registration(pool, 'a1', START)
    lose_registration(pool, 'a1', RETURNED_AT)
    assert not list_ended(pool, START + REWRITE_SECONDS + 0.1)
    assert list_ended(pool, RETURNED_AT + REWRITE_SECONDS + 0.1)


def test_missing_upstream_ends_after_the_store_drops_its_entry() -> None:
    pool = make_pool()
    mark_missing(pool, 'a1', START)
    restore_entry(pool, ENTRY, RETURNED_AT)
    dropped_at = RETURNED_AT + 3
    assert release_absent(pool, set(), dropped_at) == {'a1'}
    assert not list_ended(pool, dropped_at + MISSING_SECONDS - 0.1)
    assert list_ended(pool, dropped_at + MISSING_SECONDS + 0.1)


def test_domain_back_after_a_return_does_not_count_as_warm() -> None:
    """Its upstreams may write that they are cold after the operator writes."""
    driver = SteeringDriver()
    pool = driver.steering.pool
    driver.upstream('a1', 'catalog', 'a')
    driver.upstream('b1', 'catalog', 'b')
    pool.returned_at = START
    driver.steering.domains_out['a'] = START + 1
    driver.steering.upstreams_confirmed_at = START + 2
    restore_domains(driver.steering)
    assert 'a' not in driver.steering.domains_out
    assert pool.by_name['a1'].cold_until == START + REWRITE_SECONDS
    assert pool.by_name['b1'].cold_until <= START


def test_domain_out_that_is_not_written_again_does_not_stay_out() -> None:
    """Its removal may have been lost, and its callers would be rejected."""
    steering = SteeringDriver().steering
    steering.domains_out['a'] = OUT_INDEFINITELY
    before = steady_seconds()
    apply_topic(steering, Topic.DOMAINS_OUT, (), is_restored=True)
    until = steering.domains_out['a']
    assert (
        before + REWRITE_SECONDS <= until <= steady_seconds() + REWRITE_SECONDS
    )


def test_domain_back_long_after_a_return_counts_as_its_upstreams_write() -> (
    None
):
    driver = SteeringDriver()
    driver.upstream('a1', 'catalog', 'a')
    driver.steering.pool.returned_at = START - REWRITE_SECONDS
    driver.steering.domains_out['a'] = START + 1
    driver.steering.upstreams_confirmed_at = START + 2
    restore_domains(driver.steering)
    assert driver.steering.pool.by_name['a1'].cold_until <= START


def test_draining_upstream_is_not_used_again_because_the_store_kept_it() -> (
    None
):
    pool = make_pool('draining')
    assert restore_entry(pool, ENTRY, RETURNED_AT) is None
    kept_at = RETURNED_AT + REWRITE_SECONDS + 0.1
    assert not list(list_confirmed_entries(pool, kept_at))


def test_started_instance_holds_the_entry_of_an_upstream_that_drained() -> None:
    pool = make_pool()
    draining = make_entry('a1', 'catalog', 'a', ('draining',))
    hold_entry(pool, ENTRY, draining, RETURNED_AT)
    assert is_held(pool, ENTRY)
    assert not pool.by_name['a1'].entry.accepting
    assert not pool.by_name['a1'].missing_since


def test_started_instance_may_use_an_upstream_that_is_only_missing() -> None:
    """It would reject all flows of a service whose registrations lapsed."""
    driver = SteeringDriver()
    driver.route('web', 'catalog')
    add_unregistered(driver.steering.pool, ENTRY, START, is_ended=False)
    driver.steering.upstreams_known = True
    driver.open('f1', 'web')
    assert driver.sent == ['a1']
    driver.establish('f1')
    driver.wait(str(REWRITE_SECONDS + 0.1))
    driver.open('f2', 'web')
    assert driver.sent[-1] == 'reset'


def test_started_instance_holds_the_entry_of_an_upstream_that_left() -> None:
    pool = make_pool()
    hold_entry(pool, ENTRY, ENTRY, RETURNED_AT)
    assert is_held(pool, ENTRY)
    assert pool.by_name['a1'].missing_since
    assert not list_ended(pool, RETURNED_AT + REWRITE_SECONDS)


def test_started_instance_does_not_hold_what_was_written_since() -> None:
    pool = make_pool('slots=2')
    hold_entry(pool, ENTRY, ENTRY, RETURNED_AT)
    assert not is_held(pool, ENTRY)


def test_cold_upstream_is_not_warm_because_the_copy_is_older() -> None:
    pool = make_pool('cold=5')
    restored = restore_entry(pool, ENTRY, START + 1)
    assert restored is not None
    register_upstream(pool, restored, START + 1)
    assert pool.by_name['a1'].cold_until == START + 5
