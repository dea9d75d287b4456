"""Know the services: their files, the checks, and what is in force."""

from marlbend.config.active import ActiveConfig, Service, apply_configuration
from marlbend.config.check import collect_services
from marlbend.config.documents import (
    Configuration,
    ServiceSpec,
    UpstreamSpec,
)

__all__ = (
    'ActiveConfig',
    'Configuration',
    'Service',
    'ServiceSpec',
    'UpstreamSpec',
    'apply_configuration',
    'collect_services',
)
