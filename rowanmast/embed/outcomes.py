"""The public request, outcome and error types of the library. Has no threads or sockets."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from rowanmast.core.ports import Failure

if TYPE_CHECKING:
    from rowanmast.embed.calls import StandingCall

MAX_WAIT_S = 3600.0
MAX_NUMBER_CHARS = 4096
MAX_TEXT_BYTES = 12 * 1024  # leaves room for the rest of a message of at most 16 KiB
MAX_ROUTE_NUMBER = 999_999_999  # numbers in a route have at most nine digits in every protocol


class RowanmastError(Exception):
    """The base class of all errors of the library."""


class RequestError(RowanmastError, ValueError):
    """A request is invalid, so no call was placed. The message names the field."""


class RouterClosed(RowanmastError, RuntimeError):
    """The router is not open: not yet, no longer, or not in this process (after a fork)."""


class CallRefused(RowanmastError):
    """The call was refused; it may be retried after `retry_after_s` seconds."""

    def __init__(self, retry_after_s: float) -> None:
        super().__init__(f"call refused, retry after {retry_after_s:.3f} s")
        self.retry_after_s = retry_after_s


class CallFailed(RowanmastError):
    """The call failed, for the reason `why`."""

    def __init__(self, why: Failure) -> None:
        super().__init__(why.value)
        self.why = why


@dataclass(frozen=True, slots=True)
class CallRequest:
    """A call to be placed. Raises RequestError if a field is invalid.

    - `number`: the called number, 1 to 4096 characters and at most 12 KiB of UTF-8.
    - `dest`: the number of the destination switch (at the centre that holds the record), 0 to 999999999.
    - `klass`: the class of call, by its name in the settings.
    - `wait_s`: how long the host waits for the final answer, in seconds, up to 3600.
    - `text`: the description passed to the switch, at most 12 KiB of UTF-8.
    - `width`: circuits that the call takes; None for the default of its class.
    - `advised`: the number of a switch advised as a tandem.
    - `redialled`: the host has attempted this call before.
    - `again`: the call was cut and is placed again.
    - `transit`: the call comes from another switch, `advised`, and may be sent only to its destination.
    """

    number: str
    dest: int
    klass: str
    wait_s: float
    text: str = ""
    width: int | None = None
    advised: int | None = None
    redialled: bool = False
    again: bool = False
    transit: bool = False

    def __post_init__(self) -> None:
        # The middlewares send these texts to clients in HTTP 400 responses, so they have to stay as they are.
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
    """The outcome of a call that stands; `call` is its handle, by which the host releases it."""

    call: StandingCall


@dataclass(frozen=True, slots=True)
class Refused:
    """The outcome of a refused call. It may safely be retried after `retry_after_s` seconds."""

    retry_after_s: float

    @property
    def retry_after(self) -> int:
        """`retry_after_s` rounded up to whole seconds, at least 1, for `Retry-After` (RFC 9110, 10.2.3)."""
        return max(math.ceil(self.retry_after_s), 1)


@dataclass(frozen=True, slots=True)
class Failed:
    """The outcome of a call that was neither set up nor refused.

    `why` is the reason: no answer in time, cancelled, a fault of the router, or an invalid call.
    """

    why: Failure


Outcome = Stands | Refused | Failed


class EndedBy(Enum):
    """Who ended a standing call.

    HOST: the host released it, did not collect its outcome, or lost its last reference to it. SWITCH: the
    switch released it. CUT: the switch or the connection to it failed, or the router was closed.
    """

    HOST = "host"
    SWITCH = "switch"
    CUT = "cut"


@dataclass(frozen=True, slots=True)
class Ending:
    """How a standing call ended: by whom, and with which Q.850 cause code."""

    by: EndedBy
    cause: int
