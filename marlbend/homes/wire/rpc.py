"""Carry typed messages over gRPC with MessagePack as the codec.

gRPC lets each method bring its own serializer, so the messages of
`marlbend.homes.wire.messages` travel as they are and no generated code is
needed.
"""

from collections.abc import Awaitable, Callable
from typing import Any, Final, TypeVar, final

import grpc
import msgspec

from marlbend import error_messages as texts
from marlbend.errorcodes import ErrorKind
from marlbend.errors import MarlbendError
from marlbend.homes.wire.messages import (
    HandOver,
    HandOverReply,
    Snapshot,
    SnapshotRequest,
    Status,
    StatusRequest,
)

__all__ = (
    'Handlers',
    'call_hand_over',
    'call_snapshot',
    'call_status',
    'start_server',
)

_Request = TypeVar('_Request', bound=msgspec.Struct)
_Reply = TypeVar('_Reply', bound=msgspec.Struct)

SERVICE_NAME: Final = 'marlbend.Instance'
STATUS_METHOD: Final = 'Status'
HAND_OVER_METHOD: Final = 'HandOver'
SNAPSHOT_METHOD: Final = 'Snapshot'
CALL_TIMEOUT_SECONDS: Final = 3.0
MESSAGE_BYTES: Final = 4_194_304

_OPTIONS: Final = (
    ('grpc.so_reuseport', 0),
    ('grpc.enable_http_proxy', 0),
    ('grpc.max_receive_message_length', MESSAGE_BYTES),
)
_encode: Final = msgspec.msgpack.encode


@final
class Handlers:
    """Hold the function that answers each method."""

    __slots__ = ('hand_over', 'snapshot', 'status')

    def __init__(
        self,
        status: Callable[[StatusRequest], Awaitable[Status]],
        hand_over: Callable[[HandOver], Awaitable[HandOverReply]],
        snapshot: Callable[[SnapshotRequest], Awaitable[Snapshot]],
    ) -> None:
        """Keep the three."""
        self.status = status
        self.hand_over = hand_over
        self.snapshot = snapshot


async def start_server(
    address: str,
    port: int,
    handlers: Handlers,
) -> grpc.aio.Server:
    """Serve every method; raise ADDRESS_IN_USE if the port is taken."""
    server = grpc.aio.server(options=_OPTIONS)
    by_method: dict[str, grpc.RpcMethodHandler[Any, Any]] = {
        STATUS_METHOD: _make_handler(handlers.status, StatusRequest),
        HAND_OVER_METHOD: _make_handler(handlers.hand_over, HandOver),
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
    """Ask an instance for its status; raise INSTANCE_UNREACHABLE."""
    return await _call(
        f'{address}:{port}', name, STATUS_METHOD, StatusRequest(), Status
    )


async def call_snapshot(address: str, port: int, name: str) -> Snapshot:
    """Ask an instance what it knows; raise INSTANCE_UNREACHABLE."""
    return await _call(
        f'{address}:{port}', name, SNAPSHOT_METHOD, SnapshotRequest(), Snapshot
    )


async def call_hand_over(
    address: str,
    port: int,
    name: str,
    message: HandOver,
) -> HandOverReply:
    """Give flows to an instance; raise INSTANCE_UNREACHABLE."""
    return await _call(
        f'{address}:{port}', name, HAND_OVER_METHOD, message, HandOverReply
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


def _decoder(shape: type[_Reply]) -> Callable[[bytes], _Reply]:
    return msgspec.msgpack.Decoder(shape).decode


def _make_handler(
    answer: Callable[[_Request], Awaitable[_Reply]],
    shape: type[_Request],
) -> 'grpc.RpcMethodHandler[_Request, _Reply]':
    async def serve(
        request: _Request,
        context: 'grpc.aio.ServicerContext[_Request, _Reply]',
    ) -> _Reply:
        return await answer(request)

    return grpc.unary_unary_rpc_method_handler(
        serve,
        request_deserializer=_decoder(shape),
        response_serializer=_encode,
    )
