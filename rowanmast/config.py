"""The configuration files: what PROXY_CONFIG and ROWANMAST_IAX2 name."""

from __future__ import annotations

from dataclasses import dataclass
from ipaddress import IPv4Address
from typing import Any

import ujson

from rowanmast import interface as api
from rowanmast import vrrp
from rowanmast.net.changelog import Change, ListError, Reader, read_address
from rowanmast.settings import index_names, number, read_settings, section


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
    if not path:
        raise ConfigError("PROXY_CONFIG is not set")
    try:
        with open(path, "rb") as file:
            config: dict[str, Any] = ujson.loads(file.read())
        info = config["settings"]
        settings = read_settings(info)
        if not settings.classes:
            raise ConfigError(f"{path}: settings hold no classes of call")
        return Config(
            path=path,
            name=str(config["name"]),
            listen=read_address(config["listen"]),
            seed=int(config["seed"], 16),
            sockets=int(config["limits"]["sockets"]),
            changelog=read_address(config["changelog"]),
            known=reader.read(config["known"]),
            settings=settings,
            classes=index_names(info["services"]),
            connect_s=(number(section(info, "limits").get("connect_timeout_ns")) or 5e8) / 1e9,
        )
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except (ListError, ValueError, TypeError, AttributeError) as error:
        raise ConfigError(f"{path}: {error}") from None
    except KeyError as error:
        raise ConfigError(f"{path}: {error} is missing") from None


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


def read_pair(config: dict[str, Any]) -> PairConfig:
    parameters = vrrp.Parameters(
        vrid=int(config["vrid"]),
        priority=int(config["priority"]),
        address=str(IPv4Address(config["address"])),
        interval=int(config.get("interval_cs", 100)),
        preempt=bool(config.get("preempt", True)),
    )
    if not (1 <= parameters.vrid <= 255 and 1 <= parameters.priority <= vrrp.OWNER):
        raise ValueError("vrid and priority lie between 1 and 255")
    if not 1 <= parameters.interval <= 4095:
        raise ValueError("interval_cs lies between 1 and 4095")
    return PairConfig(read_address(config["listen"]), read_address(config["peer"]), parameters)


def read_iax_config(path: str | None) -> IaxConfig | None:
    """The file that ROWANMAST_IAX2 names; without it, no IAX2."""
    if not path:
        return None
    try:
        with open(path, "rb") as file:
            config = ujson.loads(file.read())
        switches = {str(name): read_address(at) for name, at in config.get("switches", {}).items()}
        pair = read_pair(config["vrrp"]) if "vrrp" in config else None
        return IaxConfig(read_address(config["listen"]), switches, pair)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except KeyError as error:
        raise ConfigError(f"{path}: {error} is missing") from None
    except (ListError, ValueError, TypeError, AttributeError) as error:
        raise ConfigError(f"{path}: {error}") from None
