"""Define, load and validate the settings of an instance.

The settings are a JSON file.  All problems in it are reported at once, each
with its path inside the file.
"""

from collections.abc import Iterator
from typing import Annotated, Final, Literal

import msgspec

from marlbend import error_messages
from marlbend.errorcodes import ErrorKind
from marlbend.errors import MarlbendError, Problem
from marlbend.validation import check_address, read_json, validate_document

__all__ = (
    'CookieSettings',
    'Limits',
    'Ports',
    'Settings',
    'load_settings',
    'split_endpoint',
)

MAX_PORT: Final = 65_535
MAX_FLOWS: Final = 4_000_000
DAY_SECONDS: Final = 86_400
HOUR_MILLISECONDS: Final = 3_600_000
MAX_LINK_MEGABITS: Final = 400_000
MAX_CORES: Final = 1024

Port = Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]
EndpointText = Annotated[str, msgspec.Meta(pattern=r'^\d+(\.\d+){3}:\d+$')]
Milliseconds = Annotated[float, msgspec.Meta(ge=1, le=HOUR_MILLISECONDS)]
# Unlike names in service files, it may have upper case, dots and underscores.
SettingsName = Annotated[
    str, msgspec.Meta(pattern='^[A-Za-z0-9][A-Za-z0-9._-]{0,126}$')
]
Megabits = Annotated[float, msgspec.Meta(gt=0, le=MAX_LINK_MEGABITS)]
ProcessorShare = Annotated[float, msgspec.Meta(gt=0, le=MAX_CORES)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=DAY_SECONDS)]
LogLevel = Annotated[str, msgspec.Meta(pattern='^(DEBUG|INFO|WARNING|ERROR)$')]

_DEFAULT_FABRIC_PORT: Final = 6080
_DEFAULT_RELAY_PORT: Final = 6081
_DEFAULT_CONTROL_PORT: Final = 6082
_DEFAULT_ADMIN_PORT: Final = 6083
_DEFAULT_METRICS_PORT: Final = 9096


class Ports(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hold the ports of an instance, which are the same on all instances.

    `fabric` receives the packets of callers, `relay` the packets that other
    instances relay, and `control` the control messages of other instances, all
    over UDP.  `admin` serves gRPC to other instances and to the tool.
    """

    fabric: Port = _DEFAULT_FABRIC_PORT
    relay: Port = _DEFAULT_RELAY_PORT
    control: Port = _DEFAULT_CONTROL_PORT
    admin: Port = _DEFAULT_ADMIN_PORT


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limit the flow table of an instance.

    `flows` and `half_open` are numbers of flows.  The others are timeouts of
    flows by state, and the time limit of a graceful shutdown.
    """

    flows: Annotated[int, msgspec.Meta(ge=1, le=MAX_FLOWS)] = 400_000
    half_open: Annotated[int, msgspec.Meta(ge=1, le=MAX_FLOWS)] = 50_000
    idle_seconds: Seconds = 900
    half_open_seconds: Seconds = 10
    closing_seconds: Seconds = 30
    stop_seconds: Seconds = 20


class CookieSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Configure an instance that steers by cookies, which both ends echo.

    Endpoints are `address:port`.  `fabric` receives the packets of callers,
    `ready` serves the readiness check, and `control` serves other instances and
    the tool.  `advertised` is the control endpoint as other instances reach it,
    if it differs, for example behind address translation; datagrams must then
    arrive with that source address.  `seeds` are control endpoints of other
    instances, some of which may be stale.  `metrics_port` serves the metrics.

    `stop_seconds` limits the time of a graceful shutdown.  Each instance aims
    to apply changes of routes and upstreams within `apply_milliseconds`, and to
    take a failure domain out of service within `domain_out_milliseconds`.  The
    staleness limit of a topic is a share of that target: an instance whose
    copy of the topic is older reads the platform itself.

    `link_megabits` is the bandwidth of the instance's own link in Mbit/s, and
    `processor_share` its part of a core.  They limit what the instance spends
    on reactions to trouble (`marlbend.steering.budgets`).

    `placement` is how new flows are placed and refused: by counts of `requests`
    or by outstanding `work`; see `docs/design/placement.md`.  With `adaptive`,
    each service is placed by work while it is in contention, and by counts
    otherwise; see `docs/design/contention.md`.
    """

    fabric: EndpointText
    ready: EndpointText
    control: EndpointText
    advertised: EndpointText | None = None
    seeds: tuple[EndpointText, ...] = ()
    metrics_port: Port = _DEFAULT_METRICS_PORT
    stop_seconds: Seconds = 6
    apply_milliseconds: Milliseconds = 3000
    domain_out_milliseconds: Milliseconds = 5000
    link_megabits: Megabits = 100
    processor_share: ProcessorShare = 1
    placement: Literal['requests', 'work', 'adaptive'] = 'requests'


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Configure one instance: its identity, endpoints and platform.

    `peers` are addresses of instances through which to join the fleet when the
    platform is unavailable.  With `cookie`, the instance steers by cookies, and
    `peers`, `ports` and `limits` are ignored.
    """

    name: SettingsName
    address: str
    domain: SettingsName
    platform: Annotated[str, msgspec.Meta(pattern=r'^http://[^:/]+:\d+$')]
    peers: tuple[str, ...] = ()
    ports: Ports = Ports()
    limits: Limits = Limits()
    cookie: CookieSettings | None = None
    log_level: LogLevel = 'INFO'


def split_endpoint(endpoint: str) -> tuple[str, int]:
    """Return the address and port of a validated endpoint."""
    address, _, port = endpoint.rpartition(':')
    return address, int(port)


def load_settings(path: str) -> Settings:
    """Load a settings file; raise SETTINGS_INVALID with all problems."""
    settings, problems = validate_document(read_json(path), Settings)
    if settings is not None:
        problems.extend(_find_settings_problems(settings))
    if settings is None or problems:
        raise MarlbendError(ErrorKind.SETTINGS_INVALID, path, problems)
    return settings


def _find_settings_problems(settings: Settings) -> Iterator[Problem]:
    yield from check_address(settings.address, '$.address')
    for index, peer in enumerate(settings.peers):
        yield from check_address(peer, f'$.peers[{index}]')
    seen: set[int] = set()
    for name in settings.ports.__struct_fields__:
        port = getattr(settings.ports, name)
        if port in seen:
            text = error_messages.DUPLICATE_PORT.format(port=port)
            yield Problem(f'$.ports.{name}', text)
        seen.add(port)
