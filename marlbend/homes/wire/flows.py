"""Define how flows travel from one instance to another."""

import msgspec

__all__ = ('FlowGroup',)


class FlowGroup(msgspec.Struct, frozen=True, array_like=True):
    """Carry flows that share an upstream and a phase, by digest."""

    service: str
    address: str
    port: int
    phase: int
    digests: tuple[int, ...]
