"""Start the daemon: load the settings and run the instance they describe.

An instance steers flows in one of two modes: by cookie on the users' platform,
where both ends of a flow echo the cookie, or by flow owner on a plain fabric.
Only the modules of the configured mode are imported, to shorten the start: each
0.1 s saved also shortens the outage after a power loss by 0.1 s.
"""

import os
import sys

# marlbend does not use TLS, and asyncio runs without the ssl module.  Importing
# it would take a tenth of the startup time and 2 MB of memory.
sys.modules['ssl'] = None  # type: ignore[assignment]

import asyncio
import signal
from typing import Final

from marlbend.errors import MarlbendError
from marlbend.logs import configure_logging
from marlbend.options import load_settings

__all__ = ('run',)

SETTINGS_VARIABLE: Final = 'MARLBEND_BOOT'


def run() -> None:
    """Run `marlbendd`; on an error, exit with the exit code of its kind."""
    # SIGHUP requests a reload.  Its default action would end the process until
    # the event loop installs a handler.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        _run_instance(_find_settings_path())
    except MarlbendError as error:
        sys.stderr.write(f'marlbendd: {error}\n')
        sys.exit(error.exit_code)


def _find_settings_path() -> str:
    """Return the path of the settings file; the command line has precedence."""
    default_path = os.environ.get(SETTINGS_VARIABLE)
    if default_path and len(sys.argv) == 1:
        return default_path
    from argparse import ArgumentParser

    parser = ArgumentParser(
        prog='marlbendd',
        description='Run one instance of the marlbend load balancer.',
    )
    parser.add_argument(
        '--settings',
        default=default_path,
        required=default_path is None,
        metavar='FILE',
        help=f'settings in JSON; default: ${SETTINGS_VARIABLE}',
    )
    return str(parser.parse_args().settings)


def _run_instance(path: str) -> None:
    settings = load_settings(path)
    configure_logging(settings.name, settings.log_level)
    if settings.cookie is None:
        from marlbend.ownership.daemon.wiring import serve as serve_by_owner

        asyncio.run(serve_by_owner(settings))
    else:
        from marlbend.edge.wiring import serve as serve_by_cookie

        asyncio.run(serve_by_cookie(path, settings, settings.cookie))


if __name__ == '__main__':
    run()
