"""The call router as a library: a host application places calls and gets one final outcome for each.

    with EmbeddedRouter.from_files("config.json") as router:
        with router.call_blocking(CallRequest("7f3a9c21", 2, "item-lookup", wait_s=1.5)) as call:
            print(call.text)

docs/embedding.md describes its use.
"""

from rowanmast.config import ConfigError
from rowanmast.core.coldshare import ColdShare
from rowanmast.core.ports import Failure
from rowanmast.embed.admission import Bounds
from rowanmast.embed.calls import StandingCall, Ticket
from rowanmast.embed.outcomes import (
    CallFailed,
    CallRefused,
    CallRequest,
    EndedBy,
    Ending,
    Failed,
    Outcome,
    Refused,
    RequestError,
    RouterClosed,
    RowanmastError,
    Stands,
)
from rowanmast.embed.router import EmbeddedRouter

__all__ = [
    "Bounds",
    "CallFailed",
    "CallRefused",
    "CallRequest",
    "ColdShare",
    "ConfigError",
    "EmbeddedRouter",
    "EndedBy",
    "Ending",
    "Failed",
    "Failure",
    "Outcome",
    "Refused",
    "RequestError",
    "RouterClosed",
    "RowanmastError",
    "StandingCall",
    "Stands",
    "Ticket",
]
