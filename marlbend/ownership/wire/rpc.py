"""Call and serve RPC methods over gRPC with MessagePack as the codec.

gRPC accepts a serializer for each method, so the messages of
`marlbend.ownership.wire.messages` are sent directly and no code is generated.
"""

from collections.abc import Awaitable, Callable
from typing import Any, Final, TypeVar, final

import grpc
import msgspec

from marlbend import error_messages as texts
from marlbend.errorcodes import ErrorKind
from marlbend.errors import MarlbendError
from marlbend.ownership.wire.messages import (
    Handover,
    HandoverReply,
    Snapshot,
    SnapshotRequest,
    Status,
    StatusRequest,
)

__all__ = (
    'Handlers',
    'call_handover',
    'call_snapshot',
    'call_status',
    'start_server',
)

_Request = TypeVar('_Request', bound=msgspec.Struct)
_Reply = TypeVar('_Reply', bound=msgspec.Struct)

SERVICE_NAME: Final = 'marlbend.Instance'
STATUS_METHOD: Final = 'Status'
HANDOVER_METHOD: Final = 'HandOver'
SNAPSHOT_METHOD: Final = 'Snapshot'
CALL_TIMEOUT_SECONDS: Final = 3.0
MAX_MESSAGE_BYTES: Final = 4_194_304

_OPTIONS: Final = (
    ('grpc.so_reuseport', 0),
    ('grpc.enable_http_proxy', 0),
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
)
_encode: Final = msgspec.msgpack.encode


@final
class Handlers:
    """Hold the function that serves each method."""

    __slots__ = ('handover', 'snapshot', 'status')

    def __init__(
        self,
        status: Callable[[StatusRequest], Awaitable[Status]],
        handover: Callable[[Handover], Awaitable[HandoverReply]],
        snapshot: Callable[[SnapshotRequest], Awaitable[Snapshot]],
    ) -> None:
        """Set the function of each method."""
        self.status = status
        self.handover = handover
        self.snapshot = snapshot


async def start_server(
    address: str,
    port: int,
    handlers: Handlers,
) -> grpc.aio.Server:
    """Start serving all methods; raise ADDRESS_IN_USE if the port is taken."""
    server = grpc.aio.server(options=_OPTIONS)
    by_method: dict[str, grpc.RpcMethodHandler[Any, Any]] = {
        STATUS_METHOD: _make_handler(handlers.status, StatusRequest),
        HANDOVER_METHOD: _make_handler(handlers.handover, Handover),
        SNAPSHOT_METHOD: _make_handler(handlers.snapshot, SnapshotRequest),
    }
    server.add_generic_rpc_handlers(
        (grpc.method_handlers_generic_handler(SERVICE_NAME, by_method),)
    )
    try:
        server.add_insecure_port(f'{address}:{port}')
    except RuntimeError:
        raise MarlbendError(
            ErrorKind.ADDRESS_IN_USE,
            texts.ADDRESS_IN_USE.format(address=address, port=port),
        ) from None
    await server.start()
    return server


async def call_status(address: str, port: int, name: str) -> Status:
    """Fetch the status of an instance.

    Raise INSTANCE_UNREACHABLE if the call fails.
    """
    return await _call(
        f'{address}:{port}', name, STATUS_METHOD, StatusRequest(), Status
    )


async def call_snapshot(address: str, port: int, name: str) -> Snapshot:
    """Fetch the membership and configuration of an instance.

    Raise INSTANCE_UNREACHABLE if the call fails.
    """
    return await _call(
        f'{address}:{port}', name, SNAPSHOT_METHOD, SnapshotRequest(), Snapshot
    )


async def call_handover(
    address: str,
    port: int,
    name: str,
    message: Handover,
) -> HandoverReply:
    """Hand over flows to an instance.

    Raise INSTANCE_UNREACHABLE if the call fails.
    """
    return await _call(
        f'{address}:{port}', name, HANDOVER_METHOD, message, HandoverReply
    )


async def _call(
    target: str,
    name: str,
    method: str,
    request: msgspec.Struct,
    reply_type: type[_Reply],
) -> _Reply:
    async with grpc.aio.insecure_channel(target, options=_OPTIONS) as channel:
        call = channel.unary_unary(
            f'/{SERVICE_NAME}/{method}',
            request_serializer=_encode,
            response_deserializer=_decoder(reply_type),
        )
        try:
            return await call(request, timeout=CALL_TIMEOUT_SECONDS)
        except grpc.aio.AioRpcError:
            raise MarlbendError(
                ErrorKind.INSTANCE_UNREACHABLE,
                texts.INSTANCE_UNREACHABLE.format(name=name, target=target),
            ) from None


def _decoder(message_type: type[_Reply]) -> Callable[[bytes], _Reply]:
    return msgspec.msgpack.Decoder(message_type).decode


def _make_handler(
    respond: Callable[[_Request], Awaitable[_Reply]],
    message_type: type[_Request],
) -> 'grpc.RpcMethodHandler[_Request, _Reply]':
    async def serve(
        request: _Request,
        context: 'grpc.aio.ServicerContext[_Request, _Reply]',
    ) -> _Reply:
        return await respond(request)

    return grpc.unary_unary_rpc_method_handler(
        serve,
        request_deserializer=_decoder(message_type),
        response_serializer=_encode,
    )
