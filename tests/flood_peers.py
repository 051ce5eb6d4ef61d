"""Switches, change logs and IAX2 clients that flood a router process; see `flood.py`.

`python tests/flood_peers.py [SECONDS]` prints what usual callers saw under each flood.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import socket
import sys
import threading
import time
from collections.abc import Callable, Iterator

from flood import FLOOD_BURST, FLOOD_LEAD_S, Latencies, RouterUnderLoad, background, new_ids

from rowanmast.iax2 import frames
from rowanmast.iax2.frames import Frame, FrameType, Iax, Ie, text_elements
from rowanmast.lab.ports import free_address
from rowanmast.net import jsonlines

SWITCH_FLOODS: dict[str, Callable[[str], bytes]] = {
    "status": lambda call: jsonlines.encode("status", "", {"load": "x0:900;x1:900"}),
    "status with new figures": lambda call: jsonlines.encode("status", "", {"load": f"x{call}:1;x1:900"}),
    "release of new calls": lambda call: jsonlines.encode("close", call, {}, code=16),
    "answer to new calls": lambda call: jsonlines.encode("ready", call, {}, text="here"),
    "probe": lambda call: jsonlines.encode("probe", call, {}, code=1),
    "unknown line": lambda call: jsonlines.encode("hello", call, {}),
    "unsound line": lambda call: b"[]\n",
}


def serve_connections(address: tuple[str, int], serve: Callable[[socket.socket], None]) -> None:
    """Accepts connections for good and serves each on a thread."""

    def run(connection: socket.socket) -> None:
        with contextlib.suppress(OSError), connection:
            serve(connection)

    with socket.create_server(address) as listener:
        while True:
            threading.Thread(target=run, args=(listener.accept()[0],), daemon=True).start()


def flooding_switch(address: tuple[str, int], kind: str) -> None:
    """Sends lines at full speed on each connection, and reads what comes."""
    make, ids = SWITCH_FLOODS[kind], new_ids()

    def serve(connection: socket.socket) -> None:
        threading.Thread(target=discard, args=(connection,), daemon=True).start()
        while True:
            connection.sendall(b"".join(make(next(ids)) for _ in range(FLOOD_BURST)))

    serve_connections(address, serve)


def discard(connection: socket.socket) -> None:
    with contextlib.suppress(OSError):
        while connection.recv(1 << 16):
            pass


def response(results: list[object]) -> bytes:
    body = json.dumps({"seq": 1, "results": results}).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


def change_of_new_hosts(seq: int) -> bytes:
    """A change with twenty hosts that were never listed before and are gone in the next change."""
    hosts = [
        {
            "host": f"h{number}-{place}",
            "dial": f"127.0.0.1:{9 + place}",
            "block": 100 + place,
            "health": health,
        }
        for place in range(20)
        for number, health in ((seq, "ready"), (seq - 1, "gone"))
    ]
    return response([{"seq": seq, "fleet": {"seq": seq, "whole": False, "hosts": hosts}}])


def endless(piece: bytes) -> Callable[[], Iterator[bytes]]:
    return lambda: itertools.chain([b"HTTP/1.1 200 OK\r\nX: "], itertools.repeat(piece))


CHANGE_LOG_FLOODS: dict[str, Callable[[], Iterator[bytes]]] = {
    "empty responses without a request": lambda: itertools.repeat(response([]) * FLOOD_BURST),
    "changes without a request": lambda: (change_of_new_hosts(seq) for seq in itertools.count(2)),
    "endless header": endless(b"x" * 4096),
    "endless headers": endless(b"x\r\nX: y\r\n" * 512),
}


def flooding_change_log(address: tuple[str, int], kind: str) -> None:
    """Sends at full speed on each connection as soon as it is open."""

    def serve(connection: socket.socket) -> None:
        threading.Thread(target=discard, args=(connection,), daemon=True).start()
        for piece in CHANGE_LOG_FLOODS[kind]():
            connection.sendall(piece)

    serve_connections(address, serve)


def new_frame(number: int, **more: object) -> Frame:
    elements = (
        (int(Ie.VERSION), frames.PROTOCOL_VERSION.to_bytes(2, "big")),
        *text_elements(Ie.CALLED_NUMBER, f"n{number}"),
        *text_elements(Ie.CALLED_CONTEXT, "item-lookup"),
        (int(Ie.SETUP_MS), (3000).to_bytes(4, "big")),
        *text_elements(Ie.ROUTE, "dest:1;width:1;via:-1"),
    )
    source = number % frames.MAX_CALL_NUMBER + 1
    return Frame(source, 0, number, 0, 0, FrameType.IAX, Iax.NEW, elements)


def iax_frame(number: int, destination: int, subclass: Iax) -> bytes:
    source = number % frames.MAX_CALL_NUMBER + 1
    return frames.encode(Frame(source, destination, 0, 0, 0, FrameType.IAX, subclass))


IAX_FLOODS: dict[str, Callable[[int], bytes]] = {
    "NEW of new numbers": lambda number: frames.encode(new_frame(number)),
    "NEW of one number": lambda number: frames.encode(
        Frame(7, 0, number, 0, 0, FrameType.IAX, Iax.NEW, new_frame(number).elements)
    ),
    "POKE": lambda number: iax_frame(number, 0, Iax.POKE),
    "HANGUP of unknown calls": lambda number: iax_frame(number, 99, Iax.HANGUP),
    "unsound datagrams": lambda number: b"nonsense",
}


def iax_flood(address: tuple[str, int], kind: str) -> None:
    """Sends datagrams at full speed from one address, and reads what comes."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.connect(address)
        sender.setblocking(False)
        for number in itertools.count():
            with contextlib.suppress(OSError):
                sender.send(IAX_FLOODS[kind](number))
            with contextlib.suppress(OSError):
                sender.recv(2048)


def latencies(router: RouterUnderLoad, seconds: float) -> tuple[Latencies, float]:
    """What usual callers see of the router, and its peak of memory in MB."""
    with router:
        time.sleep(FLOOD_LEAD_S)
        return asyncio.run(router.call_politely(seconds)), router.resident_mb()


def under_switch_flood(kind: str, seconds: float) -> tuple[Latencies, float]:
    router, address = RouterUnderLoad(), free_address()
    entry = {"host": "flood", "dial": "{}:{}".format(*address), "block": 9, "health": "ready"}
    router.other_entries.append(entry)
    with background(flooding_switch, address, kind):
        return latencies(router, seconds)


def under_change_log_flood(kind: str, seconds: float) -> tuple[Latencies, float]:
    router = RouterUnderLoad()
    router.change_log = free_address()
    with background(flooding_change_log, router.change_log, kind):
        time.sleep(FLOOD_LEAD_S)
        return latencies(router, seconds)


def under_iax_flood(kind: str, seconds: float) -> tuple[Latencies, float]:
    router = RouterUnderLoad()
    router.iax_address = free_address()
    with background(iax_flood, router.iax_address, kind):
        return latencies(router, seconds)


PEER_FLOODS: dict[str, Callable[[float], tuple[Latencies, float]]] = {
    **{f"switch: {kind}": lambda s, kind=kind: under_switch_flood(kind, s) for kind in SWITCH_FLOODS},
    **{
        f"discovery: {kind}": lambda s, kind=kind: under_change_log_flood(kind, s)
        for kind in CHANGE_LOG_FLOODS
    },
    **{f"iax2: {kind}": lambda s, kind=kind: under_iax_flood(kind, s) for kind in IAX_FLOODS},
}


def main() -> None:
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 5.0
    print(f"{'flood':48} calls unanswered refused median ms  worst ms  peak MB")
    for name, play in PEER_FLOODS.items():
        got, peak_mb = play(seconds)
        print(
            f"{name:48} {len(got.delays):5} {got.unanswered:6} {got.refused:6} "
            f"{got.median * 1000:10.1f} {got.worst * 1000:10.1f} {peak_mb:8.1f}",
            flush=True,
        )


if __name__ == "__main__":
    main()
