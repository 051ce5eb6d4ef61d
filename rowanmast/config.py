"""The platform's configuration: what PROXY_CONFIG names. Our own settings are read in `options`."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import ujson

from rowanmast import interface as api
from rowanmast import vrrp
from rowanmast.net.changelog import Change, ChangeLogError, Reader, parse_address
from rowanmast.settings import index_by_name, optional_number, read_settings, section


class ConfigError(Exception):
    """The configuration can't be acted on; the text says why."""


@dataclass(frozen=True, slots=True)
class Config:
    path: str
    name: str
    listen: tuple[str, int]
    seed: int
    sockets: int
    changelog: tuple[str, int]
    known: list[Change]
    settings: api.Settings
    classes: dict[str, int]
    connect_s: float


def read_config(path: str | None, reader: Reader) -> Config:
    """The configuration in a file. Raises ConfigError with one line that names the file."""
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
    """The configuration in a decoded document of the same form; `source` names it in errors."""
    try:
        info = config["settings"]
        settings = read_settings(info)
        if not settings.classes:
            raise ConfigError(f"{source}: settings hold no classes of call")
        return Config(
            path=source,
            name=str(config["name"]),
            listen=parse_address(config["listen"]),
            seed=int(config["seed"], 16),
            sockets=int(config["limits"]["sockets"]),
            changelog=parse_address(config["changelog"]),
            known=reader.read(config["known"]),
            settings=settings,
            classes=index_by_name(info["services"]),
            connect_s=(optional_number(section(info, "limits").get("connect_timeout_ns")) or 5e8) / 1e9,
        )
    except KeyError as error:
        raise ConfigError(f"{source}: {error} is missing") from None
    except (ChangeLogError, ValueError, TypeError, AttributeError) as error:
        raise ConfigError(f"{source}: {error}") from None


@dataclass(frozen=True, slots=True)
class IaxConfig:
    """Where IAX2 is spoken: our address, and those of the switches that speak it, by their names."""

    listen: tuple[str, int]
    switches: dict[str, tuple[str, int]]
    pair: PairConfig | None = None


@dataclass(frozen=True, slots=True)
class PairConfig:
    """The other router of a pair, and the VRRP of the two."""

    listen: tuple[str, int]
    peer: tuple[str, int]
    parameters: vrrp.Parameters
