"""Decide on registrations after the store came back from a copy.

The copy is some seconds old.  It may have upstreams that have left since, in
the state that they had then, and lack those that have registered since.  Both
write again what holds, some time later; the registration of an upstream that
is gone expires.  Until then what is known from before the return counts.

An upstream whose registration was missing before the return may be in either
position.  If the copy has it, it does not end while the store keeps it, and
gets new flows only where no other is left; if not, it has as much time to write
again as any other.

Designed for a store that loses its latest changes while upstreams come and go.
"""

from collections.abc import Iterator

import msgspec

from marlbend.steering.documents import UpstreamEntry
from marlbend.steering.upstreams import (
    REWRITE_SECONDS,
    HeldEntry,
    UpstreamPool,
    derive_cookie,
    end_upstream,
    mark_missing,
    register_upstream,
)

__all__ = (
    'add_unregistered',
    'hold_entry',
    'is_held',
    'keep_domain_cold',
    'list_confirmed_entries',
    'list_held',
    'list_unregistered',
    'lose_registration',
    'release_absent',
    'release_entry',
    'restore_entry',
)


def restore_entry(
    pool: UpstreamPool, entry: UpstreamEntry, now: float
) -> UpstreamEntry | None:
    """Return what to register for an entry of the copy, `None` for nothing.

    An upstream that has ended, is missing or drains stays so, and its entry is
    held; so is an entry of an earlier start.  One that is cold stays cold, as
    the copy may be from before its domain was out.
    """
    known = pool.by_name.get(entry.name)
    if known is None or known.entry.born < entry.born:
        return entry
    is_earlier_start = known.entry.born > entry.born
    has_left = known.ended_at > 0 or known.missing_since > 0
    is_leaving = entry.accepting and not known.entry.accepting
    if is_earlier_start:
        lose_registration(pool, entry.name, now)
    if is_earlier_start or has_left or is_leaving:
        pool.held_by_name[entry.name] = HeldEntry(entry, now)
        return None
    cold_seconds = max(entry.cold_seconds, known.cold_until - now)
    return msgspec.structs.replace(entry, cold_seconds=cold_seconds)


def keep_domain_cold(pool: UpstreamPool, domain: str) -> None:
    """Take the upstreams of a domain that is back for cold after a return.

    The operator may write again that it is back before they write again that
    they are cold.
    """
    cold_until = pool.returned_at + REWRITE_SECONDS
    for known in pool.by_name.values():
        if known.entry.domain == domain:
            known.cold_until = max(known.cold_until, cold_until)


def lose_registration(pool: UpstreamPool, name: str, now: float) -> None:
    """Keep an upstream that the copy lacks, until it registers again.

    What was known of its registration before the return does not count.
    """
    known = pool.by_name.get(name)
    if known is not None and not known.ended_at:
        known.missing_since = now
        pool.lost[name] = now


def list_unregistered(
    pool: UpstreamPool, *, is_ended: bool
) -> Iterator[UpstreamEntry]:
    """Yield the entries of upstreams that have ended, or are only missing."""
    for known in pool.by_name.values():
        is_unregistered = known.missing_since > 0 or known.ended_at > 0
        if is_unregistered and is_ended == (known.ended_at > 0):
            yield known.entry


def add_unregistered(
    pool: UpstreamPool, entry: UpstreamEntry, now: float, *, is_ended: bool
) -> None:
    """Add an upstream that another instance knows as ended or missing.

    Do nothing if it is known, or if its cookie is in use.
    """
    if (
        entry.name in pool.by_name
        or derive_cookie(entry.name) in pool.by_cookie
    ):
        return
    register_upstream(pool, entry, now)
    lose_registration(pool, entry.name, now)
    if is_ended:
        end_upstream(pool, entry.name, now)


def list_held(
    pool: UpstreamPool,
) -> Iterator[tuple[UpstreamEntry, UpstreamEntry]]:
    """Yield each held entry with the one that is known of its upstream."""
    for name, held in pool.held_by_name.items():
        known = pool.by_name.get(name)
        if known is not None:
            yield held.entry, known.entry


def hold_entry(
    pool: UpstreamPool, held: UpstreamEntry, known: UpstreamEntry, now: float
) -> None:
    """Hold an entry as another instance does, and use the known one.

    Do nothing if this instance knows the upstream by another entry.
    """
    current = pool.by_name.get(held.name)
    is_held_here = held.name in pool.held_by_name
    if current is None or current.entry != held or is_held_here:
        return
    pool.held_by_name[held.name] = HeldEntry(held, now)
    current.entry = known
    # One that drains gets no new flow anyway.
    if known.accepting:
        mark_missing(pool, held.name, now)


def is_held(pool: UpstreamPool, entry: UpstreamEntry) -> bool:
    """Return whether an entry is the one of the copy, not written since."""
    held = pool.held_by_name.get(entry.name)
    return held is not None and held.entry == entry


def release_absent(
    pool: UpstreamPool, present: set[str], now: float
) -> set[str]:
    """Forget held entries that the store no longer has; return their names."""
    absent = pool.held_by_name.keys() - present
    for name in absent:
        release_entry(pool, name, now)
    return absent


def release_entry(pool: UpstreamPool, name: str, now: float) -> bool:
    """Forget a held entry that the store has removed, if there is one.

    Return whether there was one.  Its upstream is missing from now on.
    """
    if pool.held_by_name.pop(name, None) is None:
        return False
    known = pool.by_name.get(name)
    if known is not None and known.missing_since:
        known.missing_since = now
    return True


def list_confirmed_entries(
    pool: UpstreamPool, confirmed_until: float
) -> Iterator[UpstreamEntry]:
    """Yield the held entries that the store has kept for long enough.

    Those of upstreams that are gone have expired by then.  One that drains
    never accepts flows again before its next start; the store may keep its
    entry as it was, since heartbeats do not change it.
    """
    for name, held in tuple(pool.held_by_name.items()):
        known = pool.by_name.get(name)
        is_draining = (
            known is not None
            and known.entry.born == held.entry.born
            and not known.entry.accepting
        )
        if not is_draining and confirmed_until - held.since > REWRITE_SECONDS:
            yield held.entry
