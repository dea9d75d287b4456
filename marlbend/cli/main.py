"""Run the command-line tool `marlbend`.

`fire` exposes the methods of `Commands` as subcommands.  They return nothing
and print their report as text or, with `--json`, as one JSON object.
"""

import asyncio
import os
import re
import sys
from collections.abc import Awaitable, Callable
from typing import Final, TypeVar, final

import fire

from marlbend import VERSION, error_messages
from marlbend.cli import explaining, fleet, reports
from marlbend.config import collect_services
from marlbend.config.publish import drain_upstream, publish_configuration
from marlbend.errorcodes import ErrorKind
from marlbend.errors import MarlbendError
from marlbend.platform.client import PlatformClient

__all__ = ('run',)

_Returned = TypeVar('_Returned')

PLATFORM_VARIABLE: Final = 'MARLBEND_PLATFORM'
CONTROL_VARIABLE: Final = 'MARLBEND_CONTROL'
PUBLICATION_ID_BYTES: Final = 8
_ENDPOINT: Final = re.compile(r'([^:]+):(\d+)')


@final
class Commands:
    """Validate and publish service files, and inspect the instances."""

    def check(self, *files: str, json: bool = False) -> None:
        """Validate service files, one by one and together.

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
        """Validate service files and publish them as the configuration.

        Args:
            files: the service files of all teams.
            platform: URL of the platform (default $MARLBEND_PLATFORM).
            expected: the version to replace (default the current one).
            json: print one JSON object.

        """
        document = collect_services([str(path) for path in files])

        async def write(client: PlatformClient) -> int:
            return await publish_configuration(
                client, document, _make_publication_id(), expected
            )

        version = _run_with_platform(platform, write)
        reports.print_report(reports.report_publish(version, document), json)

    def drain(
        self,
        service: str,
        upstream: str,
        undo: bool = False,
        platform: str = '',
        json: bool = False,
    ) -> None:
        """Stop new flows to an upstream, which keeps its open flows.

        The drain stays in force across publications until it is undone.

        Args:
            service: name of the service.
            upstream: name of the upstream in the service file.
            undo: let the upstream accept new flows again.
            platform: URL of the platform (default $MARLBEND_PLATFORM).
            json: print one JSON object.

        """

        async def write(client: PlatformClient) -> int:
            return await drain_upstream(
                client, service, upstream, _make_publication_id(), undo=undo
            )

        version = _run_with_platform(platform, write)
        report = reports.DrainReport(version, service, upstream, not undo)
        reports.print_report(report, json)

    def domain(self, control: str = '', json: bool = False) -> None:
        """Show which failure domains are out of service or partitioned.

        Args:
            control: control endpoint of any instance, ADDRESS:PORT; by
                default $MARLBEND_CONTROL.
            json: print one JSON object.

        """
        endpoint = _find_control_endpoint(control)
        report = asyncio.run(fleet.collect_domains(endpoint))
        reports.print_report(report, json)

    def explain(
        self,
        endpoint: str,
        caller: str = '',
        control: str = '',
        json: bool = False,
    ) -> None:
        """Show where a new flow would go now, and why; send nothing.

        Args:
            endpoint: address and port of the route, ADDRESS:PORT.
            caller: address of the caller (default any).
            control: control endpoint of the instance to ask, ADDRESS:PORT; by
                default $MARLBEND_CONTROL.
            json: print one JSON object.

        """
        chosen = _find_control_endpoint(control)
        report = asyncio.run(
            explaining.fetch_explanation(chosen, str(endpoint), str(caller))
        )
        reports.print_report(report, json)

    def trace(self, request: str, *logs: str, json: bool = False) -> None:
        """Show each decision on a request, from the logs of the instances.

        Args:
            request: ID of the request, or a flow as it appears in the logs.
            logs: log files of any instances (default standard input).
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
        """Show how the open flows are distributed over the upstreams.

        Args:
            service: show only this service.
            platform: URL of the platform (default $MARLBEND_PLATFORM).
            control: control endpoint of an instance that steers by cookies.
            json: print one JSON object.

        """
        if control:
            endpoint = _find_control_endpoint(control)
            report = asyncio.run(fleet.collect_spread(endpoint, service))
            reports.print_report(report, json)
            return

        async def collect(client: PlatformClient) -> reports.FlowsReport:
            return await reports.collect_flows(client, service)

        reports.print_report(_run_with_platform(platform, collect), json)

    def status(
        self,
        platform: str = '',
        instance: str = '',
        control: str = '',
        json: bool = False,
    ) -> None:
        """Show the status that each instance reports.

        Args:
            platform: URL of the platform (default $MARLBEND_PLATFORM).
            instance: show only the instance with this name.
            control: control endpoint of an instance that steers by cookies.
            json: print one JSON object.

        """
        if control:
            endpoint = _find_control_endpoint(control)
            report = asyncio.run(fleet.collect_fleet(endpoint))
            reports.print_report(report, json)
            return

        async def collect(client: PlatformClient) -> reports.StatusReport:
            return await reports.collect_status(client, instance)

        reports.print_report(_run_with_platform(platform, collect), json)

    def version(self, json: bool = False) -> None:
        """Show the version of this program.

        Args:
            json: print one JSON object.

        """
        reports.print_report(reports.VersionReport(VERSION), json)


def run() -> None:
    """Run `marlbend`; on an error, exit with the exit code of its kind."""
    try:
        fire.Fire(Commands(), name='marlbend')
    except MarlbendError as error:
        _report_error(error)
        sys.exit(error.exit_code)


def _find_control_endpoint(endpoint: str) -> tuple[str, int]:
    """Return the control endpoint; raise USAGE if it is unset or malformed."""
    chosen = endpoint or os.environ.get(CONTROL_VARIABLE, '')
    match = _ENDPOINT.fullmatch(str(chosen))
    if match is None:
        raise MarlbendError(
            ErrorKind.USAGE, error_messages.CONTROL_ENDPOINT_INVALID
        )
    return match.group(1), int(match.group(2))


def _make_publication_id() -> str:
    return os.urandom(PUBLICATION_ID_BYTES).hex()


def _run_with_platform(
    url: str,
    operation: Callable[[PlatformClient], Awaitable[_Returned]],
) -> _Returned:
    """Run a coroutine function with a client of the platform."""
    chosen = url or os.environ.get(PLATFORM_VARIABLE, '')
    if not chosen:
        raise MarlbendError(ErrorKind.USAGE, error_messages.NO_PLATFORM_URL)

    async def run_operation() -> _Returned:
        return await operation(PlatformClient(chosen))

    return asyncio.run(run_operation())


def _report_error(error: MarlbendError) -> None:
    if '--json' in sys.argv:
        report = reports.ErrorReport(
            error.kind.value,
            error.text,
            tuple(str(problem) for problem in error.problems),
        )
        reports.print_json(report)
    sys.stderr.write(f'marlbend: {error}\n')
