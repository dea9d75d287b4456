"""Know the services: their files, and the checks."""

from marlbend.config.check import collect_services
from marlbend.config.documents import (
    Configuration,
    ServiceSpec,
    UpstreamSpec,
)

__all__ = (
    'Configuration',
    'ServiceSpec',
    'UpstreamSpec',
    'collect_services',
)
