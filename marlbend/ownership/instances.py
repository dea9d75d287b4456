"""Read the platform's list of instances.

The list may be stale, so it only seeds the membership view with addresses.
"""

from collections.abc import Iterator
from typing import Final, Literal

import msgspec

from marlbend import error_messages
from marlbend.errorcodes import ErrorKind
from marlbend.errors import MarlbendError
from marlbend.options import Port
from marlbend.ownership.members.member import Member, MemberState
from marlbend.platform.client import VersionedBody
from marlbend.validation import VALUE_ERRORS

__all__ = ('INSTANCES_PATH', 'ListedInstance', 'decode_instances')

INSTANCES_PATH: Final = ('instances', 'current')


class ListedInstance(msgspec.Struct, frozen=True):
    """Represent an instance as the platform lists it."""

    name: str
    address: str
    domain: str
    state: Literal['live', 'leaving']
    fabric_port: Port
    relay_port: Port
    control_port: Port
    admin_port: Port


class InstanceList(msgspec.Struct, frozen=True):
    """Represent the platform's object that lists the instances."""

    instances: tuple[ListedInstance, ...] = ()


def decode_instances(stored: VersionedBody) -> list[Member]:
    """Return the listed members.

    Raise a `MarlbendError` of kind MESSAGE_MALFORMED if the list is invalid.
    """
    if not stored.revision:
        return []
    try:
        listed = msgspec.json.decode(stored.body, type=InstanceList)
    except VALUE_ERRORS as error:
        raise MarlbendError(
            ErrorKind.MESSAGE_MALFORMED,
            error_messages.MESSAGE_MALFORMED.format(
                name='/'.join(INSTANCES_PATH), reason=error
            ),
        ) from None
    return list(_to_members(listed))


def _to_members(listed: InstanceList) -> Iterator[Member]:
    for instance in listed.instances:
        yield Member(
            name=instance.name,
            address=instance.address,
            domain=instance.domain,
            fabric_port=instance.fabric_port,
            relay_port=instance.relay_port,
            control_port=instance.control_port,
            admin_port=instance.admin_port,
            state=MemberState.LISTED,
        )
