"""Define how flows are encoded in messages between instances."""

import msgspec

__all__ = ('FlowGroup',)


class FlowGroup(msgspec.Struct, frozen=True, array_like=True):
    """List the digests of flows that share an upstream and a phase."""

    service: str
    address: str
    port: int
    phase: int
    digests: tuple[int, ...]
