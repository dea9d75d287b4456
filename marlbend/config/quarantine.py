"""Quarantine the address of a removed upstream.

An instance may still have flows of a service at an upstream that is no longer
in its service file, and may receive a configuration late.  So no other service
may use the address of a removed upstream for a while, and instances stop
forwarding the old flows well before that time ends.
"""

from collections.abc import Iterator, Sequence
from typing import Final

from marlbend import error_messages
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
# An instance that applies a configuration without one of its upstreams keeps
# the removed upstream as retired: it forwards open flows to it, for no longer
# than this.  An instance that applies the configuration late, by up to the
# difference to `QUARANTINE_SECONDS`, still stops in time.
RETIRED_UPSTREAM_SECONDS: Final = 1800


def list_quarantined_addresses(
    current: Configuration,
    services: Sequence[ServiceSpec],
    now: float,
) -> Iterator[QuarantinedAddress]:
    """Yield the addresses in quarantine once these services are published.

    These are the addresses that the publication removes from a service, and
    those whose quarantine has not ended.  An address that an upstream uses
    again leaves the quarantine.  `now` is in seconds since the epoch, on the
    publisher's clock.
    """
    new_services = _service_by_address(services)
    for address, service in _service_by_address(current.services).items():
        if new_services.get(address) != service:
            yield QuarantinedAddress(address, service, now + QUARANTINE_SECONDS)
    for quarantined in current.resting:
        if quarantined.until > now and quarantined.address not in new_services:
            yield quarantined


def find_quarantine_violations(
    current: Configuration,
    services: Sequence[ServiceSpec],
    now: float,
) -> Iterator[Problem]:
    """Yield a problem for each upstream address taken from another service.

    The other service uses it in the current configuration, or used it and the
    quarantine has not ended.  `now` is in seconds since the epoch.
    """
    previous_services = _service_by_address(current.services)
    previous_services.update(
        {
            quarantined.address: quarantined.service
            for quarantined in current.resting
            if quarantined.until > now
        }
    )
    for address, service in _service_by_address(services).items():
        previous = previous_services.get(address, service)
        if previous != service:
            text = error_messages.ADDRESS_QUARANTINED.format(
                address=address, service=previous
            )
            yield Problem(service, text)


def _service_by_address(services: Sequence[ServiceSpec]) -> dict[str, str]:
    return {
        upstream.address: spec.service
        for spec in services
        for upstream in spec.upstreams
    }
