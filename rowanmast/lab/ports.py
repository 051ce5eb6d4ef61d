"""Free loopback ports for routers that are started by an experiment and listen a moment later."""

from __future__ import annotations

import socket
from contextlib import suppress
from pathlib import Path
from random import Random

LOOPBACK = "127.0.0.1"
FIRST_PORT = 10_000  # those below are used by well-known services
EPHEMERAL_RANGE_PATH = Path("/proc/sys/net/ipv4/ip_local_port_range")
DEFAULT_FIRST_EPHEMERAL_PORT = 32_768  # of Linux
MAX_ATTEMPTS = 1000


def first_ephemeral_port() -> int:
    """The lowest port that the kernel gives to sockets without one of their own."""
    with suppress(OSError, ValueError, IndexError):
        return int(EPHEMERAL_RANGE_PATH.read_text().split()[0])
    return DEFAULT_FIRST_EPHEMERAL_PORT


def free_address(random: Random | None = None) -> tuple[str, int]:
    """Returns a loopback address that is free now, for TCP and UDP.

    The port is below the ephemeral range, so the kernel gives it to no other socket before it is used.
    Raises OSError if no free port is found.
    """
    random = random or Random()
    ports = range(FIRST_PORT, max(first_ephemeral_port(), FIRST_PORT + 1))
    for _ in range(MAX_ATTEMPTS):
        port = random.choice(ports)
        if is_free(port):
            return LOOPBACK, port
    raise OSError(f"no free port from {ports.start} to {ports.stop - 1}")


def is_free(port: int) -> bool:
    """Whether the loopback port can be bound for TCP and for UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                return False
    return True
