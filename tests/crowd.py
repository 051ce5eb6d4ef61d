"""Crowds of clients that hold a router's memory, as by heads of many fields or unread answers.

`python tests/crowd.py` prints the peak of memory under each crowd; `test_memory.py` holds bounds against it.
"""

from __future__ import annotations

import contextlib
import secrets
import selectors
import socket
import sys
import time
from collections.abc import Callable

from flood import EXAMPLE, RouterUnderLoad, invite, request

from rowanmast.net import sip

CLIENTS = 400
CROWD_S = 4.0
SET_UPS_PER_CLIENT = 40
SLOW_PIECE_BYTES = 16  # written by each slow client at a time
FILLING = 15_000  # bytes that leave room for the rest of a message of 16 KiB


def many_fields(call: str) -> bytes:
    """A set-up whose head has as many short fields as fit."""
    route = "dest:1;width:1;via:-1"
    service = EXAMPLE["settings"]["services"][0]["name"]
    known = [("Call-ID", call), ("CSeq", "1 INVITE"), ("X-Service", service), ("X-Setup-Ms", "3000")]
    short = [("v", "x")] * (FILLING // len("v: x\r\n"))
    return sip.encode(f"INVITE sip:{call}@net SIP/2.0", [*known, ("X-Route", route), *short])


def large_set_up(call: str) -> bytes:
    return invite(call, body="x" * FILLING)


def set_ups(make: Callable[[str], bytes]) -> bytes:
    return b"".join(make(secrets.token_hex(8)) for _ in range(SET_UPS_PER_CLIENT))


# What each client of a crowd sends, whether slowly, and whether it reads.
CROWDS: dict[str, tuple[Callable[[], bytes], bool, bool]] = {
    "write slowly": (lambda: large_set_up(secrets.token_hex(8)), True, True),
    "stop half way through a large request": (
        lambda: large_set_up(secrets.token_hex(8))[: -FILLING // 2],
        False,
        True,
    ),
    "heads of very many short fields": (lambda: set_ups(many_fields), False, True),
    "large set-ups": (lambda: set_ups(large_set_up), False, True),
    "large requests, answers unread": (
        lambda: request("OPTIONS", "ping", Via="x" * FILLING) * SET_UPS_PER_CLIENT,
        False,
        False,
    ),
}


def play(address: tuple[str, int], crowd: str) -> None:
    """Lets the clients of a crowd send, and read if they do, for this time."""
    make, slowly, reads = CROWDS[crowd]
    with selectors.DefaultSelector() as selector, contextlib.ExitStack() as stack:
        unsent: dict[socket.socket, memoryview] = {}
        for _ in range(CLIENTS):
            client = stack.enter_context(socket.create_connection(address))
            client.setblocking(False)
            unsent[client] = memoryview(make())
            selector.register(client, selectors.EVENT_WRITE | (selectors.EVENT_READ if reads else 0))
        end = time.monotonic() + CROWD_S
        while time.monotonic() < end:
            for key, events in selector.select(0.05):
                client = key.fileobj
                assert isinstance(client, socket.socket)
                try:
                    if events & selectors.EVENT_READ and not client.recv(1 << 16):
                        raise ConnectionResetError
                    if events & selectors.EVENT_WRITE:
                        piece = unsent[client][: SLOW_PIECE_BYTES if slowly else None]
                        unsent[client] = unsent[client][client.send(piece) :]
                        if not unsent[client]:
                            selector.modify(client, selectors.EVENT_READ)
                except OSError:
                    selector.unregister(client)


def main() -> None:
    print(f"{'crowd':40} peak MB  at rest MB")
    for crowd in sys.argv[1:] or CROWDS:
        with RouterUnderLoad() as router:
            router.fleet.command("mute", "s1")
            at_rest = router.resident_mb()
            play(router.address, crowd)
            print(f"{crowd:40} {router.resident_mb():8.1f} {at_rest:8.1f}", flush=True)


if __name__ == "__main__":
    main()
