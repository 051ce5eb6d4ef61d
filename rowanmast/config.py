"""The platform's configuration file, named by PROXY_CONFIG. The router's settings are read in `options`."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import ujson

from rowanmast import interface as api
from rowanmast import vrrp
from rowanmast.net.changelog import Change, ChangeLogError, Reader, parse_address
from rowanmast.settings import get_section, index_by_name, optional_number, read_settings

DEFAULT_MEMORY_MB = 192.0


class ConfigError(Exception):
    """The configuration is not usable; the message says why."""


@dataclass(frozen=True, slots=True)
class Config:
    """A checked configuration."""

    path: str
    name: str
    listen: tuple[str, int]
    seed: int
    sockets: int  # limit of open sockets
    memory_mb: float  # limit of memory; DEFAULT_MEMORY_MB if it is not configured
    changelog: tuple[str, int]
    known: list[Change]  # entries of the change log known at the start
    settings: api.Settings
    classes: dict[str, int]  # class name -> index in `settings.classes`
    connect_s: float  # time limit of a connect to a switch; 0.5 if it is not configured


def read_config(path: str | None, reader: Reader) -> Config:
    """Reads and checks a configuration file. Raises ConfigError with one line, which names a given file."""
    if not path:
        raise ConfigError("PROXY_CONFIG is not set")
    try:
        with open(path, "rb") as file:
            document = ujson.loads(file.read())
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"{path}: {error}") from None
    return check_config(document, reader, path)


def check_config(config: Any, reader: Reader, source: str = "configuration") -> Config:
    """Checks a decoded configuration document; `source` names it in the messages of ConfigError."""
    try:
        info = config["settings"]
        settings = read_settings(info)
        if not settings.classes:
            raise ConfigError(f"{source}: settings.services: no classes of call are defined")
        return Config(
            path=source,
            name=str(config["name"]),
            listen=parse_address(config["listen"]),
            seed=int(config["seed"], 16),
            sockets=int(config["limits"]["sockets"]),
            memory_mb=float(config["limits"].get("memory_mb") or DEFAULT_MEMORY_MB),
            changelog=parse_address(config["changelog"]),
            known=reader.read(config["known"]),
            settings=settings,
            classes=index_by_name(info["services"]),
            connect_s=(optional_number(get_section(info, "limits").get("connect_timeout_ns")) or 5e8) / 1e9,
        )
    except KeyError as error:
        raise ConfigError(f"{source}: {error} is missing") from None
    except (ChangeLogError, ValueError, TypeError, AttributeError) as error:
        raise ConfigError(f"{source}: {error}") from None


@dataclass(frozen=True, slots=True)
class IaxConfig:
    """The IAX2 settings: the router's own address and those of the IAX2 switches, by switch name."""

    listen: tuple[str, int]
    switches: dict[str, tuple[str, int]]
    pair: PairConfig | None = None


@dataclass(frozen=True, slots=True)
class PairConfig:
    """The VRRP settings of a router pair: own address, address of the other router, parameters."""

    listen: tuple[str, int]
    peer: tuple[str, int]
    parameters: vrrp.Parameters
