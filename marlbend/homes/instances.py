"""Read the platform's list of instances, which lags and is only a seed."""

from collections.abc import Iterator
from typing import Final, Literal

import msgspec

from marlbend import messages
from marlbend.errorcodes import ErrorKind
from marlbend.errors import MarlbendError
from marlbend.homes.members.member import Member, MemberState
from marlbend.platform.client import VersionedBody

__all__ = ('INSTANCES_PATH', 'ListedInstance', 'decode_instances')

INSTANCES_PATH: Final = ('instances', 'current')


class ListedInstance(msgspec.Struct, frozen=True):
    """Describe an instance as the platform lists it."""

    name: str
    address: str
    domain: str
    state: Literal['live', 'leaving']
    fabric_port: int
    relay_port: int
    control_port: int
    admin_port: int


class InstanceList(msgspec.Struct, frozen=True):
    """Hold the list."""

    instances: tuple[ListedInstance, ...] = ()


def decode_instances(stored: VersionedBody) -> list[Member]:
    """Return the members listed; raise MESSAGE_MALFORMED."""
    if not stored.version:
        return []
    try:
        listed = msgspec.json.decode(stored.body, type=InstanceList)
    except msgspec.DecodeError as error:
        raise MarlbendError(
            ErrorKind.MESSAGE_MALFORMED,
            messages.MESSAGE_MALFORMED.format(
                name='/'.join(INSTANCES_PATH), reason=error
            ),
        ) from None
    return list(_to_members(listed))


def _to_members(listed: InstanceList) -> Iterator[Member]:
    for entry in listed.instances:
        yield Member(
            name=entry.name,
            address=entry.address,
            domain=entry.domain,
            fabric_port=entry.fabric_port,
            relay_port=entry.relay_port,
            control_port=entry.control_port,
            admin_port=entry.admin_port,
            state=MemberState.LISTED,
        )
