"""Let an address rest before another service may have it.

An instance may hold flows of a service at an upstream that its service file
names no more, and may hear late of a change.  So the address of an upstream
that leaves a service is refused to every other service for a while, and
instances give up what they still hold there well before that time is over.
"""

from collections.abc import Iterator, Sequence
from typing import Final

from marlbend import messages
from marlbend.config.documents import (
    Configuration,
    QuarantinedAddress,
    ServiceSpec,
)
from marlbend.errors import Problem

__all__ = (
    'QUARANTINE_SECONDS',
    'RETIRED_UPSTREAM_SECONDS',
    'find_quarantine_violations',
    'list_quarantined_addresses',
)

QUARANTINE_SECONDS: Final = 3600
# Instances forward to an upstream that has left its service no longer.
RETIRED_UPSTREAM_SECONDS: Final = 1800


def list_quarantined_addresses(
    current: Configuration,
    services: Sequence[ServiceSpec],
    now: float,
) -> Iterator[QuarantinedAddress]:
    """Yield the addresses that rest once these services are published.

    `now` is seconds since the epoch, on the publisher's clock.
    """
    kept = _owner_by_address(services)
    for address, service in _owner_by_address(current.services).items():
        if kept.get(address) != service:
            yield QuarantinedAddress(address, service, now + QUARANTINE_SECONDS)
    for resting in current.resting:
        if resting.until > now and resting.address not in kept:
            yield resting


def find_quarantine_violations(
    current: Configuration,
    services: Sequence[ServiceSpec],
    now: float,
) -> Iterator[Problem]:
    """Yield a problem for each address that came from another service."""
    before = _owner_by_address(current.services)
    before.update(
        {
            resting.address: resting.service
            for resting in current.resting
            if resting.until > now
        }
    )
    for address, service in _owner_by_address(services).items():
        owner = before.get(address, service)
        if owner != service:
            text = messages.ADDRESS_RESTS.format(address=address, owner=owner)
            yield Problem(service, text)


def _owner_by_address(services: Sequence[ServiceSpec]) -> dict[str, str]:
    return {
        upstream.address: spec.service
        for spec in services
        for upstream in spec.upstreams
    }
