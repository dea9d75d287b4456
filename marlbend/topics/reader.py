"""Read one topic from the platform's store while this instance has to.

Designed for a store that is down, slow, partitioned or rejects this instance,
and for watches that stop responding: each watch has its own timeout, failures
are retried after an exponential delay with jitter, and the topic is listed
again if the store no longer has the history to watch from.  Also designed for
links that cannot carry every version of a large object: then only the latest
one is read.  And for a store that comes back from a copy: the first response of
a new era makes the reader list the topic, and one of a former era is an error.
"""

import asyncio
from collections.abc import Callable, Iterable
from typing import Final, TypeVar

from marlbend import error_messages
from marlbend.clock import steady_seconds
from marlbend.errorcodes import ErrorKind
from marlbend.errors import MarlbendError
from marlbend.events import Event, emit
from marlbend.http import ClientResponse
from marlbend.platform.client import expect_status, read_era
from marlbend.platform.pages import (
    ObjectChange,
    StoredObject,
    decode_changes,
    decode_page,
)
from marlbend.platform.paths import list_path, watch_path
from marlbend.steering.budgets import (
    seconds_until_available,
    spend_any,
)
from marlbend.steering.documents import Publication
from marlbend.steering.gossip import (
    should_read_platform,
)
from marlbend.steering.upstream_expiry import needs_confirmation
from marlbend.steering.upstreams import backdate_missing, has_missing
from marlbend.topics.changes import encode_changes, encode_publication_change
from marlbend.topics.contents import (
    apply_list,
    apply_object_changes,
)
from marlbend.topics.knowledge import (
    Topic,
    confirm_revision,
    enter_era,
)
from marlbend.topics.watcher import (
    TopicWatcher,
    end_failure,
    find_change_delay,
    find_retry_delay,
    no_changes,
    record_failure,
)
from marlbend.validation import VALUE_ERRORS
from marlbend.wire.heartbeats import TopicChanges

__all__ = ('TopicWatcher', 'watch_topic')

_Decoded = TypeVar('_Decoded')
# The objects of a topic, the store revision and the era.
_Pages = tuple[list[StoredObject], int, int]

# A watch takes up to this share of the staleness limit, above which the other
# instances read the platform directly.  The rest is left for the response and
# the heartbeats that spread it or, if there is none, for the next reader.
WATCH_SHARE: Final = 0.6
# The platform has this much longer to respond than it was asked to wait.
WATCH_GRACE_SECONDS: Final = 0.5
LIST_TIMEOUT_SECONDS: Final = 2.0
# Limits the delay in noticing that an upstream stays missing.
MISSING_CHECK_SECONDS: Final = 0.5
# A watch that only confirms what is known, so it needs no wait.
CONFIRMATION_WAIT_SECONDS: Final = 0.05
# Delay after a watch that returned changes, so that changes in quick succession
# are read with one call.
BATCH_SECONDS: Final = 0.3
# An instance that does not read checks this often whether it has to.
READER_CHECK_SECONDS: Final = 0.1

_OK: Final = 200
_MILLISECONDS_PER_SECOND: Final = 1000
_GONE: Final = 410


async def watch_topic(watcher: TopicWatcher) -> None:
    """Read the topic whenever this instance should, until cancelled."""
    while True:
        if not _should_read(watcher, steady_seconds()):
            await asyncio.sleep(READER_CHECK_SECONDS)
            continue
        await asyncio.sleep(
            seconds_until_available(watcher.calls, steady_seconds())
        )
        try:
            await _read_once(watcher)
        except MarlbendError as error:
            record_failure(watcher, error)
            delay = find_retry_delay(watcher)
            await asyncio.sleep(delay * watcher.random.uniform(0.5, 1))


def _should_read(watcher: TopicWatcher, now: float) -> bool:
    return should_read_platform(
        watcher.gossip, watcher.topic, now
    ) or _is_confirmation_due(watcher, now)


def _is_confirmation_due(watcher: TopicWatcher, now: float) -> bool:
    """Return whether an upstream ends once the platform answers.

    The reader may be lost, and the others would notice it too late for an
    upstream that should get no new flow any more.
    """
    topic = watcher.topic
    confirmed = (
        watcher.gossip.recovered_at_by_topic[topic],
        watcher.gossip.confirmed_at_by_topic[topic],
    )
    return topic is Topic.UPSTREAMS and needs_confirmation(
        watcher.steering.pool, now, confirmed
    )


async def _read_once(watcher: TopicWatcher) -> None:
    known_revision = watcher.gossip.revision_by_topic[watcher.topic]
    known_era = watcher.gossip.era_by_topic[watcher.topic]
    # Another instance may have reported a later revision than was read here.
    if watcher.era < known_era:
        watcher.era = known_era
        watcher.watch_from_revision = known_revision
    watcher.watch_from_revision = max(
        watcher.watch_from_revision, known_revision
    )
    if _should_list(watcher):
        has_changed = await _list_all(watcher)
    else:
        has_changed = await _watch_changes(watcher)
    if has_changed:
        await asyncio.sleep(BATCH_SECONDS)


def _should_list(watcher: TopicWatcher) -> bool:
    """Return whether to read all objects instead of the changes.

    A watch returns each change in full, also those that later ones replace.  So
    an instance over the staleness limit, which may have missed many, lists a
    topic of one object.
    """
    if watcher.list_needed or not watcher.watch_from_revision:
        return True
    gossip = watcher.gossip
    age = steady_seconds() - gossip.confirmed_at_by_topic[watcher.topic]
    is_stale = age > gossip.staleness_limit_by_topic[watcher.topic]
    return is_stale and _count_objects(watcher) == 1


def _count_objects(watcher: TopicWatcher) -> int:
    """Return how many objects a list of the topic has, one at least."""
    steering = watcher.steering
    if watcher.topic is Topic.UPSTREAMS:
        return max(len(steering.pool.by_name), 1)
    if watcher.topic is Topic.DOMAINS_OUT:
        return max(len(steering.domains_out), 1)
    return 1


async def _list_all(watcher: TopicWatcher) -> bool:
    """Read all objects; return whether any had changed."""
    # The store makes the first page after this.
    requested_at = steady_seconds()
    pages = await _read_pages(watcher)
    if pages is None:
        return False
    listed, revision, era = pages
    known_revision = watcher.gossip.revision_by_topic[watcher.topic]
    has_changed = [each.meta.rev > known_revision for each in listed]
    # While everything changes, the next watch would be longer as well.
    watcher.list_needed &= bool(listed) and all(has_changed)
    is_new_era = era > watcher.gossip.era_by_topic[watcher.topic]
    if is_new_era or revision >= known_revision:
        changes = _apply_pages(watcher, pages, requested_at)
        watcher.era = era
        watcher.watch_from_revision = revision
        _record_read(watcher, revision, requested_at)
        if is_new_era or revision > known_revision:
            watcher.announce(changes)
    return any(has_changed)


def _apply_pages(
    watcher: TopicWatcher, pages: _Pages, requested_at: float
) -> TopicChanges:
    """Apply a complete list; return what to announce.

    The other instances fetch the first list of an era, since no change leads
    from one era to the next.
    """
    listed, revision, era = pages
    gossip = watcher.gossip
    topic = watcher.topic
    known_revision = gossip.revision_by_topic[topic]
    previous = watcher.steering.routes.publication
    if era == gossip.era_by_topic[topic]:
        _apply_current_list(watcher, listed, requested_at)
        return _describe_list(watcher, known_revision, revision, previous)
    is_restored = known_revision > 0
    apply_list(watcher.steering, topic, listed, is_restored=is_restored)
    enter_era(gossip, topic, era, revision)
    return no_changes(watcher, revision)


def _apply_current_list(
    watcher: TopicWatcher, listed: list[StoredObject], requested_at: float
) -> None:
    """Apply a complete list of the known era."""
    delay = find_change_delay(watcher, requested_at, requested_at)
    noticed_at = steady_seconds()
    apply_list(watcher.steering, watcher.topic, listed)
    backdate_missing(watcher.steering.pool, noticed_at, requested_at - delay)


async def _read_pages(watcher: TopicWatcher) -> _Pages | None:
    """Return the objects of a topic, the revision to watch from, and its era.

    That is the revision of the first page, so that the next watch returns the
    changes since then.  Return `None` if the pages are of different eras.
    """
    listed: list[StoredObject] = []
    revision = 0
    era = 0
    after = ''
    has_more = True
    while has_more:
        path = list_path(watcher.topic, after)
        response = await _call(watcher, path, LIST_TIMEOUT_SECONDS)
        page, page_revision, has_more = _decode(response, decode_page)
        _log_read(watcher, response, len(page), 0)
        if after and read_era(response) != era:
            return None
        era = read_era(response)
        listed.extend(page)
        revision = revision or page_revision
        # Without a readable object there is no name to continue from.
        has_more = has_more and bool(page) and page[-1].meta.name != after
        after = page[-1].meta.name if page else ''
    return listed, revision, era


async def _watch_changes(watcher: TopicWatcher) -> bool:
    """Wait for changes; return whether there were any."""
    wait_seconds = (
        watcher.gossip.staleness_limit_by_topic[watcher.topic] * WATCH_SHARE
    )
    if watcher.topic is Topic.UPSTREAMS and has_missing(watcher.steering.pool):
        # Only a response confirms that a registration is still missing.
        wait_seconds = min(wait_seconds, MISSING_CHECK_SECONDS)
    requested_at = steady_seconds()
    if _is_confirmation_due(watcher, requested_at):
        wait_seconds = CONFIRMATION_WAIT_SECONDS
    path = watch_path(watcher.topic, watcher.watch_from_revision, wait_seconds)
    response = await _call(watcher, path, wait_seconds + WATCH_GRACE_SECONDS)
    if response.status == _GONE or read_era(response) > watcher.era:
        watcher.list_needed = True
        return False
    # The store responds by the end of the wait.  A later receipt means that
    # the response, or this process, was held up.
    received_at = steady_seconds() - response.receive_seconds
    confirmed_at = min(received_at, requested_at + wait_seconds)
    delay = find_change_delay(watcher, requested_at, received_at)
    return _apply_response(watcher, response, confirmed_at, delay)


def _apply_response(
    watcher: TopicWatcher,
    response: ClientResponse,
    confirmed_at: float,
    delay: float,
) -> bool:
    """Apply the response to a watch; return whether it had changes.

    `delay` is for how many seconds they may have been in force.
    """
    changes, revision = _decode(response, decode_changes)
    _log_read(watcher, response, len(changes), _count_superseded(changes))
    known_revision = watcher.gossip.revision_by_topic[watcher.topic]
    watched_from = watcher.watch_from_revision
    watcher.watch_from_revision = max(watched_from, revision)
    watcher.list_needed = len(changes) > _count_objects(watcher)
    if changes and revision > known_revision:
        previous = watcher.steering.routes.publication
        noticed_at = steady_seconds()
        apply_object_changes(watcher.steering, watcher.topic, changes)
        pool = watcher.steering.pool
        backdate_missing(pool, noticed_at, noticed_at - delay)
        _record_read(watcher, revision, confirmed_at)
        # No change of this topic lies between the known revision and a later
        # one from which the watch started.
        since = min(watched_from, known_revision)
        body = _encode_body(watcher, previous, changes)
        watcher.announce(
            TopicChanges(
                watcher.topic,
                since,
                revision,
                body,
                watcher.era,
                int(delay * _MILLISECONDS_PER_SECOND),
            )
        )
    else:
        # A revision from another instance is as recent as this response.
        _record_read(watcher, known_revision, confirmed_at)
    return bool(changes)


def _count_superseded(changes: list[ObjectChange]) -> int:
    """Count the changes that a later one to the same object replaces."""
    return len(changes) - len({stored.meta.name for stored, _ in changes})


def _log_read(
    watcher: TopicWatcher,
    response: ClientResponse,
    change_count: int,
    superseded: int,
) -> None:
    topic = watcher.topic
    transfers = watcher.gossip.transfers_by_topic[topic]
    transfers.reads += 1
    transfers.read_bytes += len(response.body)
    transfers.superseded += superseded
    if change_count:
        confirmed_at = watcher.gossip.confirmed_at_by_topic[topic]
        emit(
            Event.PLATFORM_READ,
            kind=topic.name.lower(),
            size=len(response.body),
            seconds=round(response.receive_seconds, 3),
            changes=change_count,
            superseded=superseded,
            age=round(steady_seconds() - confirmed_at, 3),
        )


def _record_read(
    watcher: TopicWatcher, revision: int, confirmed_at: float
) -> None:
    gossip = watcher.gossip
    # What was heard before this response tells whether there was an outage.
    if watcher.failed_at:
        end_failure(watcher, steady_seconds())
    confirm_revision(gossip, watcher.topic, revision, confirmed_at)
    gossip.myself.can_read = not gossip.is_leaving


def _describe_list(
    watcher: TopicWatcher,
    known_revision: int,
    revision: int,
    previous: Publication,
) -> TopicChanges:
    """Return what a list changed, or no changes if only the list tells."""
    if watcher.topic is not Topic.CONFIGURATION or not known_revision:
        return no_changes(watcher, revision)
    body = _encode_body(watcher, previous, ())
    era = watcher.gossip.era_by_topic[watcher.topic]
    return TopicChanges(watcher.topic, known_revision, revision, body, era)


def _encode_body(
    watcher: TopicWatcher,
    previous: Publication,
    changes: Iterable[ObjectChange],
) -> bytes:
    """Encode changes; `previous` is the publication before them."""
    if watcher.topic is Topic.CONFIGURATION:
        publication = watcher.steering.routes.publication
        return encode_publication_change(previous, publication)
    return encode_changes(watcher.topic, changes)


async def _call(
    watcher: TopicWatcher, path: str, timeout: float
) -> ClientResponse:
    spend_any(watcher.calls, 1, steady_seconds())
    response = await watcher.connection.request('GET', path, timeout)
    expect_status(response, path, _OK, _GONE)
    era = read_era(response)
    known_era = watcher.gossip.era_by_topic[watcher.topic]
    if era < known_era:
        raise MarlbendError(
            ErrorKind.PLATFORM_UNREACHABLE,
            error_messages.FORMER_ERA.format(
                path=path, era=era, known=known_era
            ),
        )
    return response


def _decode(
    response: ClientResponse, parse: Callable[[bytes], _Decoded]
) -> _Decoded:
    try:
        return parse(response.body)
    except VALUE_ERRORS as error:
        raise MarlbendError(
            ErrorKind.MESSAGE_MALFORMED,
            error_messages.MESSAGE_MALFORMED.format(
                name='objects', reason=error
            ),
        ) from None
