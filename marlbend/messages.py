"""Hold the texts of error messages in one place."""

from typing import Final

FILE_UNREADABLE: Final = 'cannot read {path}: {reason}'
NOT_JSON: Final = '{path} is not valid JSON: {reason}'
FIELD_UNKNOWN: Final = 'unknown field'
FIELD_MISSING: Final = 'required field is missing'
NOT_AN_OBJECT: Final = 'expected an object'
NOT_AN_ADDRESS: Final = 'not an IPv4 address: {address}'
PORTS_EQUAL: Final = 'port {port} is used twice'
SERVICE_TWICE: Final = 'service {name} is defined twice'
ENDPOINT_TWICE: Final = '{endpoint} belongs to service {owner} already'
UPSTREAM_TWICE: Final = 'upstream {endpoint} belongs to service {owner} already'
ADDRESS_RESTS: Final = '{address} was an upstream of {owner} and rests still'
UPSTREAM_UNKNOWN: Final = 'service {service} has no upstream {upstream}'
SERVICES_WRONG: Final = 'service files are wrong'
NO_SERVICE_FILES: Final = 'no service files were given'
PLATFORM_UNREACHABLE: Final = 'no answer from the platform at {url}: {reason}'
SERVER_UNREACHABLE: Final = 'no answer from {url}: {reason}'
PLATFORM_REFUSED: Final = (
    'unexpected answer {status} from the platform at {url}'
)
PUBLISH_CONFLICT: Final = (
    'another publish came first: expected version {expected}, found {found}'
)
ADDRESS_IN_USE: Final = '{address}:{port} is in use by another process'
ADDRESS_UNAVAILABLE: Final = 'cannot bind {address}:{port}: {reason}'
INSTANCE_UNREACHABLE: Final = 'no answer from instance {name} at {target}'
MESSAGE_MALFORMED: Final = 'cannot decode {name}: {reason}'
NO_PLATFORM: Final = 'give --platform URL or set MARLBEND_PLATFORM'
NOT_A_URL: Final = 'expected http://ADDRESS:PORT, found {url}'
NO_CONTROL: Final = 'give --control ADDRESS:PORT or set MARLBEND_CONTROL'
