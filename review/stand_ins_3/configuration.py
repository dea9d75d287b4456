"""Make the operator's configuration."""

ROUTE_PORT = 8443


def make_configuration(route, service, warmup_s, warmup_per_s):
    """Return a configuration with one route, an address and a port."""
    address, port = route
    return {
        'version': 7,
        'routes': [
            {
                'name': 'r-1',
                'hostname': address,
                'path_prefix': f'/{port}/',
                'kind': 'safe',
                'timeout_ms': 4000,
                'target_latency_ms': 250,
                'priority': 2,
                'service': service,
                'max_attempts': 2,
            }
        ],
        'services': [
            {
                'name': service,
                'health_path': '/health',
                'max_conns': 2000,
                'protocol': 'h1',
                'tls': False,
                'warmup_s': warmup_s,
                'warmup_per_s': warmup_per_s,
            }
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 262144,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
    }
