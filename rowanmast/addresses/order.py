"""The addresses of a switch and the order in which they are tried. No I/O.

The order follows RFC 6724, section 6, without the rules that need source addresses from the kernel, and with
the operator's order of address families in place of the default policy table. The families are then
interleaved as in RFC 8305, section 4, so that a family that does not work at all costs only one attempt.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from enum import Enum
from ipaddress import AddressValueError, IPv4Address, IPv6Address

MAX_UNIX_PATH_BYTES = 107  # limit of Linux (unix(7))
MAX_ADDRESSES = 16  # per switch; the list comes from outside, and more would be of no use
UNIX_PREFIX = "unix:"


class EndpointError(ValueError):
    """A text is not a valid address; the message says what is expected."""


class Family(Enum):
    """Address families; the values are their names in the settings."""

    UNIX = "unix"
    IP6 = "ip6"
    IP4 = "ip4"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One address: host and port, or a Unix socket's path in `host`."""

    family: Family
    host: str
    port: int = 0
    scope: str = ""  # the zone of a link-local IPv6 address (RFC 4007, section 11)

    def __str__(self) -> str:
        if self.family is Family.UNIX:
            return UNIX_PREFIX + self.host
        if self.family is Family.IP6:
            zone_suffix = f"%{self.scope}" if self.scope else ""
            return f"[{self.host}{zone_suffix}]:{self.port}"
        return f"{self.host}:{self.port}"


def read_endpoint(text: str) -> Endpoint:
    """Parses an address such as 10.1.0.9:2905, [fe80::1%eth0]:2905 or unix:/run/s.sock.

    Raises EndpointError.
    """
    if text.startswith(UNIX_PREFIX):
        path = text.removeprefix(UNIX_PREFIX)
        if not path.startswith("/") or "\0" in path or len(path.encode()) > MAX_UNIX_PATH_BYTES:
            raise EndpointError(
                f"{text!r}: give unix: and an absolute path of up to {MAX_UNIX_PATH_BYTES} bytes"
            )
        return Endpoint(Family.UNIX, path)
    host, colon, digits = text.rpartition(":")
    if not (colon and digits.isascii() and digits.isdigit() and 1 <= int(digits[:6]) <= 65535):
        raise EndpointError(f"{text!r}: give a port from 1 to 65535 after a colon")
    if host.startswith("[") and host.endswith("]"):
        return read_ip6(host[1:-1], int(digits))
    try:
        return Endpoint(Family.IP4, str(IPv4Address(host)), int(digits))
    except AddressValueError:
        raise EndpointError(f"{text!r}: give an IPv4 address, or an IPv6 address in brackets") from None


def read_ip6(host: str, port: int) -> Endpoint:
    try:
        address = IPv6Address(host)
    except AddressValueError:
        raise EndpointError(f"{host!r}: not an IPv6 address") from None
    zone = address.scope_id or ""
    plain = IPv6Address(int(address))
    if plain.is_link_local != bool(zone):
        raise EndpointError(
            f"{host!r}: give a zone for a link-local address, as in fe80::1%eth0, and none for others"
        )
    return Endpoint(Family.IP6, str(plain), port, zone)


@dataclass(frozen=True, slots=True)
class Preference:
    """The operator's order of address families, and how many addresses of the first one are tried first."""

    families: tuple[Family, ...] = (Family.UNIX, Family.IP6, Family.IP4)
    first_count: int = 1  # First Address Family Count, RFC 8305, section 4


def scope_rank(endpoint: Endpoint) -> int:
    """Rank by scope, smaller scopes first (RFC 6724, rule 8): host, link, site, global."""
    if endpoint.family is Family.UNIX:
        return 0
    address = IPv4Address(endpoint.host) if endpoint.family is Family.IP4 else IPv6Address(endpoint.host)
    if address.is_loopback:
        return 0
    if address.is_link_local:
        return 1
    return 2 if address.is_private else 3


def order_endpoints(
    endpoints: Iterable[Endpoint],
    preference: Preference,
    usable: Callable[[Endpoint], bool] = lambda endpoint: True,
    cost: Callable[[Endpoint], int] = lambda endpoint: 0,
) -> list[Endpoint]:
    """The endpoints in the order to try them: each once, at most MAX_ADDRESSES, only of listed families.

    `usable` implements rule 1 (avoid unusable destinations): unusable endpoints come last, in the same order
    among themselves. Within a family and a scope, endpoints of lower `cost` come first; its unit does not
    matter. Otherwise the given order is kept (rule 10).
    """
    listed = [one for one in dict.fromkeys(endpoints) if one.family in preference.families][:MAX_ADDRESSES]
    good = [one for one in listed if usable(one)]
    poor = [one for one in listed if one not in good]
    return [*interleave(good, preference, cost), *interleave(poor, preference, cost)]


def interleave(
    endpoints: Sequence[Endpoint], preference: Preference, cost: Callable[[Endpoint], int]
) -> list[Endpoint]:
    """Alternates between the families; the first one starts with `first_count` addresses."""
    queues = [
        sorted(
            (one for one in endpoints if one.family is family),
            key=lambda one: (scope_rank(one), cost(one)),  # the sort is stable
        )
        for family in preference.families
    ]
    queues = [queue for queue in queues if queue]
    ordered: list[Endpoint] = []
    if queues:
        head = max(preference.first_count - 1, 0)
        ordered += queues[0][:head]
        del queues[0][:head]
    while any(queues):
        ordered += [queue.pop(0) for queue in queues if queue]
    return ordered
