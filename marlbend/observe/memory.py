"""Read the memory usage of this process."""

from typing import Final

__all__ = ('resident_bytes',)

_BYTES_PER_KIBIBYTE: Final = 1024


def resident_bytes() -> int:
    """Return the resident set size of this process."""
    with open('/proc/self/status', encoding='ascii') as status:
        for line in status:
            if line.startswith('VmRSS:'):
                return int(line.split()[1]) * _BYTES_PER_KIBIBYTE
    return 0
