"""What a client has sent before it left is not passed on, and no call id runs twice."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
import socket
import time

import pytest
from flood import RESET_ON_CLOSE, RouterUnderLoad, invite
from standins import FakeTransport, RecordingInbox

from rowanmast.core.ports import Offer
from rowanmast.net.callers import CallerConnection, SipFront

IDS = 100  # that one client sends and then sends anew
ROUNDS = 5
SETTLE_S = 1.0


def send_and_leave(address: tuple[str, int], calls: list[str], stay_s: float) -> None:
    """Sends a set-up of each call on one connection, and resets it after a while without reading."""
    with socket.create_connection(address) as connection:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        connection.sendall(b"".join(map(invite, calls)))
        time.sleep(stay_s)


def read_for(connection: socket.socket, seconds: float) -> bytes:
    received, end = b"", time.monotonic() + seconds
    connection.settimeout(0.1)
    while time.monotonic() < end:
        with contextlib.suppress(TimeoutError):
            received += connection.recv(1 << 16)
    return received


@pytest.mark.parametrize("stay_s", [0.0, 0.002, 0.02])
def test_ids_that_come_again_after_their_client_has_left_do_not_run_twice(stay_s: float) -> None:
    # Of 100 ids that came again right after a reset 5 ran twice, as the reset was heard after the set-ups.
    with RouterUnderLoad() as router:
        for _ in range(ROUNDS):
            calls = [secrets.token_hex(8) for _ in range(IDS)]
            send_and_leave(router.address, calls, stay_s)
            with socket.create_connection(router.address) as again:
                again.sendall(b"".join(map(invite, calls)))
                answers = read_for(again, SETTLE_S)
            assert answers.count(b"SIP/2.0 ") >= IDS, "a set-up that came again got no answer"
        report = router.fleet.report()
    assert not report["violations"]
    assert [call for call, count in report["attempts"].items() if count > 1] == []


def test_set_ups_that_are_read_after_their_connection_was_reset_are_not_passed_on() -> None:
    async def main() -> None:
        inbox = RecordingInbox()
        front = SipFront(inbox, 10, lambda: 0)
        server = await asyncio.get_running_loop().create_server(
            lambda: CallerConnection(front), "127.0.0.1", 0
        )
        with socket.create_connection(server.sockets[0].getsockname()) as client:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            client.sendall(b"".join(invite(f"c{number}") for number in range(IDS)))
        await asyncio.sleep(0.1)
        server.close()
        assert not [item for item in inbox.take() if isinstance(item, Offer)] and not front.pending_invites

    asyncio.run(main())


def test_deferred_input_is_dropped_with_its_connection() -> None:
    async def main() -> None:
        inbox = RecordingInbox()
        front = SipFront(inbox, 10, lambda: 0)
        transport = FakeTransport(CallerConnection(front))
        transport.protocol.data_received(b"".join(invite(f"c{number}") for number in range(IDS)))
        passed_on = len([item for item in inbox.take() if isinstance(item, Offer)])
        assert 0 < passed_on < IDS
        transport.close()
        await asyncio.sleep(0.01)
        assert not [item for item in inbox.take() if isinstance(item, Offer)]

    asyncio.run(main())
