"""Start the daemon: read the settings and run the instance they describe.

An instance steers either by cookies that both ends of a flow repeat, which is
the way of the users' platform, or by homes, the way of a plain fabric.  Only
what the way chosen needs is imported: after a power loss an instance that is
back a tenth of a second sooner serves that much more.
"""

import os
import sys

# Nothing here speaks TLS, and asyncio does without it where it is missing.  The
# import alone takes a tenth of the start and two megabytes.
sys.modules['ssl'] = None  # type: ignore[assignment]

import asyncio
import signal
from typing import Final

from marlbend.errors import MarlbendError
from marlbend.logs import start_logging
from marlbend.options import load_settings

__all__ = ('run',)

SETTINGS_VARIABLE: Final = 'MARLBEND_BOOT'


def run() -> None:
    """Run `marlbendd`; the exit code comes from the table of errors."""
    # Until the event loop takes it, a request to reload must not end us.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        _run_with(_find_settings())
    except MarlbendError as error:
        sys.stderr.write(f'marlbendd: {error}\n')
        sys.exit(error.exit_code)


def _find_settings() -> str:
    """Return the path of the settings; the command line goes first."""
    settings_file = os.environ.get(SETTINGS_VARIABLE)
    if settings_file and len(sys.argv) == 1:
        return settings_file
    from argparse import ArgumentParser

    parser = ArgumentParser(
        prog='marlbendd',
        description='Run one instance of the marlbend load balancer.',
    )
    parser.add_argument(
        '--settings',
        default=settings_file,
        required=settings_file is None,
        metavar='FILE',
        help=f'settings in JSON; by default the variable {SETTINGS_VARIABLE}',
    )
    return str(parser.parse_args().settings)


def _run_with(path: str) -> None:
    settings = load_settings(path)
    start_logging(settings.name, settings.log_level)
    if settings.cookie is None:
        from marlbend.ownership.daemon.wiring import (
            serve as serve_with_ownership,
        )

        asyncio.run(serve_with_ownership(settings))
    else:
        from marlbend.edge.wiring import serve as serve_cookies

        asyncio.run(serve_cookies(path, settings, settings.cookie))


if __name__ == '__main__':
    run()
