"""The words of the library: what a host asks for, and how it can end. Public, without threads or sockets."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from rowanmast.core.ports import Failure

if TYPE_CHECKING:
    from rowanmast.embed.calls import StandingCall

MAX_WAIT_S = 3600.0  # nobody waits longer
MAX_NUMBER_CHARS = 4096  # characters of the number called
MAX_TEXT_BYTES = 12 * 1024  # bytes of the description: with the rest it must fit into a message of 16 KiB
MAX_ROUTE_NUMBER = 999_999_999  # route figures have nine digits on every wire


class RowanmastError(Exception):
    """The root of all errors of the library."""


class RequestError(RowanmastError, ValueError):
    """A request that can't be a call; the text names the field. Nothing was taken."""


class RouterClosed(RowanmastError, RuntimeError):
    """The router is not open: not yet, not any more, or not in this process (after a fork)."""


class CallRefused(RowanmastError):
    """The call was turned away; it may come back after `retry_after_s` seconds."""

    def __init__(self, retry_after_s: float) -> None:
        super().__init__(f"refused, come back after {retry_after_s:.3f} s")
        self.retry_after_s = retry_after_s


class CallFailed(RowanmastError):
    """The call failed: `why` says how."""

    def __init__(self, why: Failure) -> None:
        super().__init__(why.value)
        self.why = why


@dataclass(frozen=True, slots=True)
class CallRequest:
    """A call that a host wants to place. Raises RequestError for what can't be one."""

    number: str  # the number called
    dest: int  # the number of the centre that holds the record
    klass: str  # class of call, named as in the settings
    wait_s: float  # how long the host waits for the final answer, in seconds
    text: str = ""  # the description that goes to the switch
    width: int | None = None  # circuits; None: as the class has it
    advised: int | None = None  # a switch advised to go through
    redialled: bool = False  # the host has tried this call before
    again: bool = False  # the call was cut and comes again
    transit: bool = False  # it comes from another switch, `advised`, and may only go to its destination

    def __post_init__(self) -> None:
        if not (isinstance(self.number, str) and 0 < len(self.number) <= MAX_NUMBER_CHARS):
            raise RequestError(f"number: give 1 to {MAX_NUMBER_CHARS} characters")
        if not isinstance(self.klass, str) or not self.klass:
            raise RequestError("klass: give the name of a class of call")
        if not is_route_number(self.dest, 0):
            raise RequestError(f"dest: {self.dest!r} is no switch's number")
        if not (isinstance(self.wait_s, int | float) and 0 < self.wait_s <= MAX_WAIT_S):
            raise RequestError(f"wait_s: {self.wait_s!r} does not lie between 0 and {MAX_WAIT_S:.0f} seconds")
        if self.width is not None and not is_route_number(self.width, 1):
            raise RequestError(f"width: {self.width!r} is no number of circuits")
        if self.advised is not None and not is_route_number(self.advised, 0):
            raise RequestError(f"advised: {self.advised!r} is no switch's number")
        for field in ("number", "klass", "text"):
            try:
                length = len(getattr(self, field).encode())
            except (UnicodeEncodeError, AttributeError):
                raise RequestError(f"{field}: not text that UTF-8 can carry") from None
            if length > MAX_TEXT_BYTES:
                raise RequestError(f"{field}: {length} bytes are over {MAX_TEXT_BYTES}")


def is_route_number(value: object, minimum: int) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and minimum <= value <= MAX_ROUTE_NUMBER


@dataclass(frozen=True, slots=True)
class Stands:
    """The call stands, until the host or the switch releases it."""

    call: StandingCall


@dataclass(frozen=True, slots=True)
class Refused:
    """Turned away: trying again after `retry_after_s` seconds is harmless."""

    retry_after_s: float

    @property
    def retry_after(self) -> int:
        """The same in whole seconds, 1 at least, as `Retry-After` wants it (RFC 9110, 10.2.3)."""
        return max(math.ceil(self.retry_after_s), 1)


@dataclass(frozen=True, slots=True)
class Failed:
    """Not set up, and not by a shortage: no answer in time, taken back, or a fault."""

    why: Failure


Outcome = Stands | Refused | Failed


class EndedBy(Enum):
    """Who ended a call that stood."""

    HOST = "host"  # released by the host, or never collected by it
    SWITCH = "switch"  # came to its end there
    CUT = "cut"  # the switch or the way to it broke, or the router closed


@dataclass(frozen=True, slots=True)
class Ending:
    """How a call that stood is over; `cause` is that of Q.850."""

    by: EndedBy
    cause: int
