"""Define, check and publish the service files.

The published service files are one object of the platform, `Configuration`,
which the instances that steer by owner read.  Instances that steer by cookie
read another one, the operator's routes and limits, which
`marlbend.platform.objects` decodes.
"""

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
