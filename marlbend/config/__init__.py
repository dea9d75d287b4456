"""Define, check and publish the configuration of the services."""

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
