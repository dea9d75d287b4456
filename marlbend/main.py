"""Start the daemon: read the settings and run the instance they describe.

An instance steers either by cookies that both ends of a flow repeat, which is
the way of the users' platform, or by homes, the way of a plain fabric.  Only
the way chosen is imported, since start-up time and memory count.
"""

import argparse
import asyncio
import logging
import os
import sys
from typing import Final

from marlbend.errors import MarlbendError
from marlbend.options import load_settings

__all__ = ('run',)

SETTINGS_VARIABLE: Final = 'MARLBEND_BOOT'


def run() -> None:
    """Run `marlbendd`; the exit code comes from the table of errors."""
    parser = argparse.ArgumentParser(
        prog='marlbendd',
        description='Run one instance of the marlbend load balancer.',
    )
    settings_file = os.environ.get(SETTINGS_VARIABLE)
    parser.add_argument(
        '--settings',
        default=settings_file,
        required=settings_file is None,
        metavar='FILE',
        help=f'settings in JSON; by default the variable {SETTINGS_VARIABLE}',
    )
    arguments = parser.parse_args()
    try:
        _run_with(arguments.settings)
    except MarlbendError as error:
        sys.stderr.write(f'marlbendd: {error}\n')
        sys.exit(error.exit_code)


def _run_with(path: str) -> None:
    settings = load_settings(path)
    logging.basicConfig(
        level=settings.log_level,
        format=f'%(asctime)s {settings.name} %(levelname)s %(message)s',
    )
    if settings.cookie is None:
        from marlbend.daemon.wiring import serve as serve_homes

        asyncio.run(serve_homes(settings))
    else:
        from marlbend.edge.wiring import serve as serve_cookies

        asyncio.run(serve_cookies(settings, settings.cookie))


if __name__ == '__main__':
    run()
