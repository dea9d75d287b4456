"""Run the command-line tool `marlbend`.

`fire` turns the methods of `Commands` into verbs.  A verb returns nothing and
prints either text for a person or, with `--json`, one JSON object.
"""

import asyncio
import os
import re
import sys
from collections.abc import Awaitable, Callable
from typing import Final, TypeVar, final

import fire

from marlbend import VERSION, messages
from marlbend.cli import fleet, reports
from marlbend.config import collect_services
from marlbend.config.publish import drain_upstream, publish_configuration
from marlbend.errorcodes import ErrorKind
from marlbend.errors import MarlbendError
from marlbend.platform.client import PlatformClient

__all__ = ('run',)

_Answer = TypeVar('_Answer')

PLATFORM_VARIABLE: Final = 'MARLBEND_PLATFORM'
CONTROL_VARIABLE: Final = 'MARLBEND_CONTROL'
PUBLICATION_BYTES: Final = 8
_ENDPOINT: Final = re.compile(r'([^:]+):(\d+)')


@final
class Commands:
    """Check and publish service files, and look at the instances."""

    def check(self, *files: str, json: bool = False) -> None:
        """Check service files on their own and as a whole.

        Args:
            files: the service files of all teams.
            json: print one JSON object.

        """
        document = collect_services([str(path) for path in files])
        reports.print_report(reports.report_check(document), json)

    def publish(
        self,
        *files: str,
        platform: str = '',
        expected: int | None = None,
        json: bool = False,
    ) -> None:
        """Check service files and publish them as the configuration.

        Args:
            files: the service files of all teams.
            platform: URL of the platform, or the variable MARLBEND_PLATFORM.
            expected: the version to replace; by default the current one.
            json: print one JSON object.

        """
        document = collect_services([str(path) for path in files])

        async def write(store: PlatformClient) -> int:
            return await publish_configuration(
                store, document, _new_publication(), expected
            )

        version = _with_platform(platform, write)
        reports.print_report(reports.report_publish(version, document), json)

    def drain(
        self,
        service: str,
        upstream: str,
        undo: bool = False,
        platform: str = '',
        json: bool = False,
    ) -> None:
        """Give an upstream no new flows; it keeps its old ones.

        The drain outlasts publications until it is undone.

        Args:
            service: name of the service.
            upstream: name of the upstream in the service file.
            undo: let the upstream take new flows again.
            platform: URL of the platform, or the variable MARLBEND_PLATFORM.
            json: print one JSON object.

        """

        async def write(store: PlatformClient) -> int:
            return await drain_upstream(
                store, service, upstream, _new_publication(), undo=undo
            )

        version = _with_platform(platform, write)
        report = reports.DrainReport(version, service, upstream, not undo)
        reports.print_report(report, json)

    def domain(self, control: str = '', json: bool = False) -> None:
        """Show which failure domains are out of service or cut off.

        Args:
            control: control endpoint of any instance, ADDRESS:PORT, or the
                variable MARLBEND_CONTROL.
            json: print one JSON object.

        """
        endpoint = _find_control(control)
        report = asyncio.run(fleet.collect_domains(endpoint))
        reports.print_report(report, json)

    def trace(self, request: str, *logs: str, json: bool = False) -> None:
        """Show each decision on a request, from the logs of the instances.

        Args:
            request: id of the request, or a flow as the log names it.
            logs: files with lines of any instances; else standard input.
            json: print one JSON object.

        """
        files = tuple(map(str, logs))
        reports.print_report(fleet.trace_request(str(request), files), json)

    def flows(
        self,
        service: str = '',
        platform: str = '',
        control: str = '',
        json: bool = False,
    ) -> None:
        """Show how the open flows are spread over the upstreams.

        Args:
            service: show only this service.
            platform: URL of the platform, or the variable MARLBEND_PLATFORM.
            control: control endpoint of an instance that steers by cookies.
            json: print one JSON object.

        """
        if control:
            endpoint = _find_control(control)
            spread = asyncio.run(fleet.collect_spread(endpoint, service))
            reports.print_report(spread, json)
            return

        async def ask(store: PlatformClient) -> reports.FlowsReport:
            return await reports.collect_flows(store, service)

        reports.print_report(_with_platform(platform, ask), json)

    def status(
        self,
        platform: str = '',
        instance: str = '',
        control: str = '',
        json: bool = False,
    ) -> None:
        """Show what each instance knows of itself.

        Args:
            platform: URL of the platform, or the variable MARLBEND_PLATFORM.
            instance: show only the instance of this name.
            control: control endpoint of an instance that steers by cookies.
            json: print one JSON object.

        """
        if control:
            endpoint = _find_control(control)
            found = asyncio.run(fleet.collect_fleet(endpoint))
            reports.print_report(found, json)
            return

        async def ask(store: PlatformClient) -> reports.StatusReport:
            return await reports.collect_status(store, instance)

        reports.print_report(_with_platform(platform, ask), json)

    def version(self, json: bool = False) -> None:
        """Show the version of this program.

        Args:
            json: print one JSON object.

        """
        reports.print_report(reports.VersionReport(VERSION), json)


def run() -> None:
    """Run `marlbend`; the exit code comes from the table of errors."""
    try:
        fire.Fire(Commands(), name='marlbend')
    except MarlbendError as error:
        _report_error(error)
        sys.exit(error.exit_code)


def _find_control(endpoint: str) -> tuple[str, int]:
    """Return a control endpoint; raise USAGE if there is none."""
    chosen = endpoint or os.environ.get(CONTROL_VARIABLE, '')
    found = _ENDPOINT.fullmatch(str(chosen))
    if found is None:
        raise MarlbendError(ErrorKind.USAGE, messages.NO_CONTROL)
    return found.group(1), int(found.group(2))


def _new_publication() -> str:
    return os.urandom(PUBLICATION_BYTES).hex()


def _with_platform(
    url: str,
    work: Callable[[PlatformClient], Awaitable[_Answer]],
) -> _Answer:
    """Run `work` with a client of the platform."""
    chosen = url or os.environ.get(PLATFORM_VARIABLE, '')
    if not chosen:
        raise MarlbendError(ErrorKind.USAGE, messages.NO_PLATFORM)

    async def run_closing() -> _Answer:
        return await work(PlatformClient(chosen))

    return asyncio.run(run_closing())


def _report_error(error: MarlbendError) -> None:
    if '--json' in sys.argv:
        report = reports.ErrorReport(
            error.kind.value,
            error.text,
            tuple(str(problem) for problem in error.problems),
        )
        reports.print_json(report)
    sys.stderr.write(f'marlbend: {error}\n')
