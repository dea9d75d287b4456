"""Keep the configuration on a plain fabric when the store goes back."""

import asyncio
from collections.abc import Callable, Coroutine
from random import Random

import msgspec

from bench.store import Faults, copy_store, restore_copy, set_faults
from marlbend.config import Configuration
from marlbend.config.publish import CONFIG_PATH, decode_configuration
from marlbend.ownership.active import ActiveConfig, apply_configuration
from marlbend.ownership.watch import watch_object
from marlbend.platform.client import PlatformClient, VersionedBody
from marlbend.test.edge import Fleet, run_with_fleet, wait_until

Scenario = Coroutine[None, None, None]
# The version and the configuration in force after each one that was read.
History = list[tuple[int, Configuration]]

# The copy is from before the publication `b`.
IN_COPY = Configuration((), publications=('a',))
LOST = Configuration((), publications=('b', 'a'))
WRITTEN_SINCE = Configuration((), publications=('c', 'a'))


def number_in_era(era: int, revision: int) -> int:
    return VersionedBody(revision, era=era).version


def make_active(version: int, document: Configuration) -> ActiveConfig:
    active = ActiveConfig()
    assert apply_configuration(active, version, document, 0)
    return active


def test_copy_of_the_store_does_not_bring_back_a_configuration() -> None:
    active = make_active(number_in_era(1, 19), LOST)
    apply_configuration(active, number_in_era(2, 12), IN_COPY, 0)
    assert active.document == LOST
    assert active.version == number_in_era(2, 12)


def test_configuration_written_after_a_return_is_applied() -> None:
    active = make_active(number_in_era(1, 19), LOST)
    apply_configuration(active, number_in_era(2, 13), WRITTEN_SINCE, 0)
    assert active.document == WRITTEN_SINCE


def test_instance_started_after_a_return_takes_the_lost_configuration() -> None:
    """It has read the copy, and fetches from an instance that has not."""
    for version in (number_in_era(1, 19), number_in_era(2, 12)):
        active = make_active(number_in_era(2, 12), IN_COPY)
        apply_configuration(active, version, LOST, 0)
        assert active.document == LOST
        assert active.version == number_in_era(2, 12)


def test_configuration_of_an_earlier_revision_is_not_taken_in_one_era() -> None:
    active = make_active(number_in_era(2, 14), IN_COPY)
    assert not apply_configuration(active, number_in_era(2, 13), LOST, 0)
    assert active.document == IN_COPY


def test_configuration_without_an_id_does_not_replace_a_lost_one() -> None:
    active = make_active(number_in_era(1, 19), LOST)
    apply_configuration(active, number_in_era(2, 12), Configuration(()), 0)
    assert active.document == LOST


def run_with_watcher(
    scenario: Callable[[Fleet, ActiveConfig, History], Scenario],
) -> None:
    """Run beside a watcher that applies what it reads."""

    async def run(fleet: Fleet) -> None:
        active = ActiveConfig()
        history: History = []

        def apply(stored: VersionedBody) -> None:
            document = decode_configuration(stored)
            apply_configuration(active, stored.version, document, 0)
            history.append((active.version, active.document))

        await publish(fleet, IN_COPY)
        address, port = fleet.address
        platform = PlatformClient(f'http://{address}:{port}')
        watcher = asyncio.create_task(
            watch_object(platform, CONFIG_PATH, apply, Random(1))
        )
        await wait_until(lambda: active.document == IN_COPY)
        await scenario(fleet, active, history)
        watcher.cancel()

    run_with_fleet(run)


async def publish(fleet: Fleet, document: Configuration) -> None:
    await fleet.put(*CONFIG_PATH, msgspec.to_builtins(document))


def test_configuration_written_before_the_first_read_after_a_return() -> None:
    """A watcher that waits to retry reads the new one first."""

    async def scenario(
        fleet: Fleet, active: ActiveConfig, history: History
    ) -> None:
        copy = copy_store(fleet.store)
        await publish(fleet, LOST)
        await wait_until(lambda: active.document == LOST)
        await set_faults(fleet.store, Faults(down=True))
        await asyncio.sleep(0.5)
        await restore_copy(fleet.store, copy)
        await publish(fleet, WRITTEN_SINCE)
        await set_faults(fleet.store, Faults())
        await wait_until(lambda: active.version >= number_in_era(2, 0))
        assert active.document == WRITTEN_SINCE

    run_with_watcher(scenario)


def test_watched_configuration_does_not_go_back_on_a_plain_fabric() -> None:
    async def scenario(
        fleet: Fleet, active: ActiveConfig, history: History
    ) -> None:
        copy = copy_store(fleet.store)
        lost = IN_COPY
        for number in range(4, 20):
            ids = (str(number), *lost.publications)
            lost = Configuration((), publications=ids)
            await publish(fleet, lost)
        await wait_until(lambda: active.document == lost)
        await restore_copy(fleet.store, copy)
        await wait_until(lambda: active.version >= number_in_era(2, 0))
        version = active.version
        assert active.document == lost
        await publish(fleet, WRITTEN_SINCE)
        await wait_until(lambda: active.document == WRITTEN_SINCE)
        assert active.version > version
        versions = [each for each, _ in history]
        assert versions == sorted(versions)
        *before, last = (document for _, document in history)
        lengths = [len(document.publications) for document in before]
        assert lengths == sorted(lengths)
        assert last == WRITTEN_SINCE

    run_with_watcher(scenario)
