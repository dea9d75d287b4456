"""Check when an upstream without a registration ends, without a network.

Instances know of the platform through one reader.  When it is lost, the others
hear nothing of the platform until they read it themselves.
"""

import pytest

from marlbend.steering.upstream_expiry import (
    expire_upstreams,
    needs_confirmation,
)
from marlbend.steering.upstreams import (
    MISSING_SECONDS,
    REWRITE_SECONDS,
    UpstreamPool,
    mark_missing,
    register_upstream,
)
from marlbend.steering.upstreams_restored import lose_registration
from marlbend.test.steering import make_entry

REMOVED_AT = 1000.0
HEARD_UNTIL = REMOVED_AT + 0.5
RECOVERED_LONG_AGO = REMOVED_AT - REWRITE_SECONDS - 0.1
NAMES = ('a1', 'a2', 'a3', 'a4')


def make_pool(*missing: str) -> UpstreamPool:
    pool = UpstreamPool()
    for name in NAMES:
        register_upstream(
            pool, make_entry(name, 'catalog', 'a'), REMOVED_AT - 100
        )
    for name in missing:
        mark_missing(pool, name, REMOVED_AT)
    return pool


def list_ended(
    pool: UpstreamPool, seconds: float, recovered_at: float
) -> list[str]:
    """Expire some time after the removal, with the reader lost before."""
    confirmed = (recovered_at, HEARD_UNTIL)
    now = REMOVED_AT + seconds
    return [known.name for known in expire_upstreams(pool, now, confirmed)]


def test_removed_upstream_ends_in_time_although_the_reader_is_lost() -> None:
    """New flows would reach it until another instance reads the platform."""
    pool = make_pool('a1')
    assert not list_ended(pool, MISSING_SECONDS - 0.1, RECOVERED_LONG_AGO)
    assert list_ended(pool, MISSING_SECONDS + 0.1, RECOVERED_LONG_AGO) == ['a1']


@pytest.mark.parametrize('count', [3, 4])
def test_most_upstreams_do_not_end_while_the_platform_is_not_heard(
    count: int,
) -> None:
    """In an outage that nobody noticed, all of a fleet would be ended."""
    pool = make_pool(*NAMES[:count])
    assert not list_ended(pool, 100, RECOVERED_LONG_AGO)


def test_upstream_that_expired_in_an_outage_waits_for_the_platform() -> None:
    """It registers again, once the platform answers, within two seconds."""
    pool = make_pool('a1')
    assert not list_ended(pool, 100, REMOVED_AT - REWRITE_SECONDS + 0.1)


def test_upstream_that_a_copy_lacks_waits_for_the_platform() -> None:
    """It cannot write its registration again while the platform is away."""
    pool = make_pool()
    lose_registration(pool, 'a1', REMOVED_AT)
    assert not list_ended(pool, 100, RECOVERED_LONG_AGO)


@pytest.mark.parametrize(
    ('seconds', 'recovered_at', 'is_needed'),
    (
        (MISSING_SECONDS + 0.1, REMOVED_AT - 1, True),
        (MISSING_SECONDS - 0.1, REMOVED_AT - 1, False),
        (MISSING_SECONDS + 0.1, RECOVERED_LONG_AGO, False),
    ),
)
def test_confirmation_is_needed_only_after_an_outage(
    seconds: float, recovered_at: float, *, is_needed: bool
) -> None:
    """Without one, all instances would read whenever an upstream ends."""
    pool = make_pool('a1')
    now = REMOVED_AT + seconds
    confirmed = (recovered_at, HEARD_UNTIL)
    assert needs_confirmation(pool, now, confirmed) is is_needed
