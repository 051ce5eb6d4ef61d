"""Reads and checks Rowanmast's settings. Errors name the file, line, field and the expected value."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from ipaddress import AddressValueError, IPv4Address

from google.protobuf import text_format

from rowanmast import vrrp
from rowanmast.addresses.order import (
    MAX_ADDRESSES,
    Endpoint,
    EndpointError,
    Family,
    Preference,
    read_endpoint,
)
from rowanmast.config import ConfigError, IaxConfig, PairConfig
from rowanmast.embed.admission import Bounds
from rowanmast.options import settings_pb2 as schema

MAX_FILE_CHARS = 1024 * 1024
Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Options:
    """The checked settings."""

    iax: IaxConfig | None
    bounds: Bounds
    addresses: dict[str, tuple[Endpoint, ...]]  # by the switch's name
    preference: Preference


@dataclass(frozen=True, slots=True)
class SettingsText:
    """The text of a settings file, in which the lines of fields can be looked up for errors."""

    name: str
    text: str

    def error(self, field: str, problem: str) -> ConfigError:
        """An error at a field such as iax.switches[1].address.

        The line is that of the field, or of the closest enclosing message if the field is absent.
        """
        lines = dict(field_lines(self.text))
        enclosing = field
        while enclosing and enclosing not in lines:
            enclosing = enclosing.rpartition(".")[0]
        return ConfigError(f"{self.name}:{lines.get(enclosing, 1)}: {field}: {problem}")


def field_lines(text: str) -> Iterator[tuple[str, int]]:
    """The path and line of each field, with its index as in families[0]; of the first one also without it.

    The text must have been parsed before, so that its syntax is valid.
    """
    tokens = text_format.Tokenizer(text.splitlines())
    stack: list[tuple[str, dict[str, int]]] = [("", {})]
    name, line = "", 1
    while not tokens.AtEnd():
        token = tokens.token
        prefix, seen = stack[-1]
        if token in ("{", "<"):
            stack.append((f"{name}.", {}))
        elif token in ("}", ">"):
            stack.pop()
        elif token.isidentifier() and not tokens.token.startswith(('"', "'")):
            error = tokens.ParseError("")  # type: ignore[arg-type]  # the stub is wrong: it takes a str
            line = error.GetLine() or 1  # the tokenizer gives the line only in errors
            tokens.NextToken()
            if tokens.token in (":", "{", "<"):
                count = seen[token] = seen.get(token, -1) + 1
                name = f"{prefix}{token}"
                yield f"{name}[{count}]", line
                if count == 0:
                    yield name, line
                # The only repeated messages: the paths of their fields contain the index.
                name = f"{name}[{count}]" if token == "switches" else name
            continue
        tokens.NextToken()


def read_options(path: str) -> Options:
    """Reads a settings file. Raises ConfigError."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read(MAX_FILE_CHARS + 1)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError:
        raise ConfigError(f"{path}: not UTF-8 text") from None
    if len(text) > MAX_FILE_CHARS:
        raise ConfigError(f"{path}: larger than 1 MiB")
    return parse_options(text, path)


def parse_options(text: str, name: str = "settings") -> Options:
    """Parses settings; errors call the file `name`. Raises ConfigError."""
    message = schema.Settings()
    try:
        text_format.Parse(text, message)
    except text_format.ParseError as error:
        line, detail = error.GetLine() or 1, str(error)
        detail = detail.partition(" : ")[2] or detail
        raise ConfigError(f"{name}:{line}: {detail.strip()}") from None
    source = SettingsText(name, text)
    iax = read_iax(message.iax, source) if message.HasField("iax") else None
    addresses = read_addresses(message, source)
    return Options(iax, read_bounds(message.embedded, source), addresses, read_preference(message, source))


def read_addresses(message: schema.Settings, source: SettingsText) -> dict[str, tuple[Endpoint, ...]]:
    found: dict[str, tuple[Endpoint, ...]] = {}
    for index, switch in enumerate(message.switches):
        field = f"switches[{index}]"
        if not switch.exchange or switch.exchange in found:
            raise source.error(
                f"{field}.exchange", "give the switch's name in the change log, each only once"
            )
        if not 1 <= len(switch.addresses) <= MAX_ADDRESSES:
            raise source.error(f"{field}.addresses", f"give 1 to {MAX_ADDRESSES} addresses")
        try:
            found[switch.exchange] = tuple(map(read_endpoint, switch.addresses))
        except EndpointError as error:
            raise source.error(f"{field}.addresses", str(error)) from None
    return found


def read_preference(message: schema.Settings, source: SettingsText) -> Preference:
    if not message.families:
        return Preference()
    known = {family.value: family for family in Family}
    for name in message.families:
        if name not in known or list(message.families).count(name) > 1:
            raise source.error("families", f"{name!r}: give each of {', '.join(known)} once at most")
    return Preference(tuple(known[name] for name in message.families))


def read_iax(iax: schema.Iax, source: SettingsText) -> IaxConfig:
    switches: dict[str, Address] = {}
    for index, switch in enumerate(iax.switches):
        field = f"iax.switches[{index}]"
        if not switch.exchange:
            raise source.error(
                f"{field}.exchange", "is missing; it gives the switch's name in the change log"
            )
        if switch.exchange in switches:
            raise source.error(f"{field}.exchange", f"{switch.exchange!r} is listed twice")
        switches[switch.exchange] = parse_address(switch.address, f"{field}.address", source)
    pair = read_pair(iax.vrrp, source) if iax.HasField("vrrp") else None
    return IaxConfig(parse_address(iax.listen, "iax.listen", source), switches, pair)


def read_pair(pair: schema.Vrrp, source: SettingsText) -> PairConfig:
    interval = pair.interval_cs if pair.HasField("interval_cs") else 100
    for field, value, maximum in (("vrid", pair.vrid, 255), ("priority", pair.priority, vrrp.PRIORITY_OWNER)):
        if not 1 <= value <= maximum:
            raise source.error(f"iax.vrrp.{field}", f"{value} is not between 1 and {maximum}")
    if not 1 <= interval <= 4095:
        raise source.error("iax.vrrp.interval_cs", f"{interval} is not between 1 and 4095")
    try:
        virtual = str(IPv4Address(pair.address))
    except AddressValueError:
        raise source.error("iax.vrrp.address", f"{pair.address!r} is not an IPv4 address") from None
    return PairConfig(
        parse_address(pair.listen, "iax.vrrp.listen", source),
        parse_address(pair.peer, "iax.vrrp.peer", source),
        vrrp.Parameters(
            vrid=pair.vrid,
            priority=pair.priority,
            address=virtual,
            interval=interval,
            preempt=pair.preempt if pair.HasField("preempt") else True,
        ),
    )


def read_bounds(embedded: schema.Embedded, source: SettingsText) -> Bounds:
    defaults = Bounds()
    max_open = embedded.max_open if embedded.HasField("max_open") else defaults.max_open
    max_standing = embedded.max_standing if embedded.HasField("max_standing") else defaults.max_standing
    collect_us = embedded.collect_ms * 1000 if embedded.HasField("collect_ms") else defaults.collect_us
    limits = (("max_open", max_open), ("max_standing", max_standing), ("collect_ms", collect_us))
    for field, value in limits:
        if value < 1:
            raise source.error(f"embedded.{field}", "0 is too small: give 1 or more")
    return Bounds(max_open=max_open, max_standing=max_standing, collect_us=collect_us)


def parse_address(text: str, field: str, source: SettingsText) -> Address:
    """Parses host:port, with a port from 1 to 65535."""
    host, _, port = text.rpartition(":")
    if not (host and port.isascii() and port.isdigit() and 1 <= int(port) <= 65535):
        raise source.error(field, f"{text!r} is not an address: give host:port, as in 127.0.0.1:4569")
    return host, int(port)
