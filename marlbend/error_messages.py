"""Define the texts of error messages."""

from typing import Final

FILE_UNREADABLE: Final = 'cannot read {path}: {reason}'
NOT_JSON: Final = '{path} is not valid JSON: {reason}'
FIELD_UNKNOWN: Final = 'unknown field'
FIELD_MISSING: Final = 'required field is missing'
NOT_AN_OBJECT: Final = 'expected an object'
NOT_AN_ADDRESS: Final = 'not an IPv4 address: {address}'
DUPLICATE_PORT: Final = 'port {port} is used twice'
DUPLICATE_SERVICE: Final = 'service {name} is defined twice'
DUPLICATE_ENDPOINT: Final = '{key} belongs to service {service} already'
DUPLICATE_UPSTREAM: Final = (
    'upstream {key} belongs to service {service} already'
)
ADDRESS_QUARANTINED: Final = (
    '{address} was an upstream of service {service} and cannot be reused yet'
)
UPSTREAM_UNKNOWN: Final = 'service {service} has no upstream {upstream}'
SERVICES_INVALID: Final = 'invalid service files'
NO_SERVICE_FILES: Final = 'no service files given'
PLATFORM_UNREACHABLE: Final = 'cannot reach the platform at {url}: {reason}'
SERVER_UNREACHABLE: Final = 'no response from {target}: {reason}'
UNEXPECTED_STATUS: Final = (
    'unexpected status {status} from the platform at {url}'
)
FORMER_ERA: Final = (
    'response to {path} is of era {era} of the store, but era {known} is known'
)
PUBLISH_CONFLICT: Final = (
    'another publication came first: expected version {expected}, found {found}'
)
ADDRESS_IN_USE: Final = '{address}:{port} is in use by another process'
ADDRESS_UNAVAILABLE: Final = 'cannot bind {address}:{port}: {reason}'
INSTANCE_UNREACHABLE: Final = 'no response from instance {name} at {target}'
MESSAGE_MALFORMED: Final = 'cannot decode {name}: {reason}'
NO_ROUTE: Final = 'no route has the address and port {endpoint}'
NOT_AN_ENDPOINT: Final = 'expected ADDRESS:PORT and an address, found {text}'
NO_PLATFORM_URL: Final = 'give --platform URL or set MARLBEND_PLATFORM'
NOT_A_URL: Final = 'expected http://ADDRESS:PORT, found {url}'
CONTROL_ENDPOINT_INVALID: Final = (
    'control endpoint is missing or malformed: '
    'give --control ADDRESS:PORT or set MARLBEND_CONTROL'
)
