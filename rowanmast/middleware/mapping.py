"""How a web request becomes a call, and an outcome a response. Without I/O; both middlewares share it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from rowanmast.core.ports import Failure
from rowanmast.embed.outcomes import MAX_WAIT_S, CallRequest, Failed, Refused, RequestError
from rowanmast.routes import figure

CLASS, NUMBER, DEST = "x-call-class", "x-call-number", "x-call-dest"
WAIT_MS, VIA, WIDTH = "x-call-wait-ms", "x-call-via", "x-call-width"
REDIAL, AGAIN, TEXT = "x-call-redial", "x-call-again", "x-call-text"
BUSY_AFTER_S = 1  # stated where the router is closed
Headers = Mapping[str, str]  # names in lower case


def from_headers(headers: Headers, klass: str = "", wait_s: float = 0.0) -> CallRequest | None:
    """The call that a request's headers ask for; None without X-Call-Number, which asks for none.

    `klass` and `wait_s` (seconds) stand in where the headers name none. Raises RequestError, naming the
    header.
    """
    number = headers.get(NUMBER)
    if number is None:
        return None
    if DEST not in headers:
        raise RequestError(f"{DEST}: is missing: the number of the centre that holds the record")
    if WAIT_MS in headers:
        wait_s = whole(headers, WAIT_MS) / 1000
    if not 0 < wait_s <= MAX_WAIT_S:
        raise RequestError(f"{WAIT_MS}: give 1 to {MAX_WAIT_S * 1000:.0f} milliseconds")
    return CallRequest(
        number=number,
        dest=whole(headers, DEST),
        klass=headers.get(CLASS, klass),
        wait_s=wait_s,
        text=headers.get(TEXT, ""),
        width=whole(headers, WIDTH) if WIDTH in headers else None,
        advised=whole(headers, VIA) if VIA in headers else None,
        redialled=headers.get(REDIAL) == "1",
        again=headers.get(AGAIN) == "1",
    )


def whole(headers: Headers, name: str) -> int:
    try:
        return figure(headers[name].strip())
    except ValueError as error:
        raise RequestError(f"{name}: {error}") from None


@dataclass(frozen=True, slots=True)
class Reply:
    """A response that the middleware gives in place of the application."""

    status: int
    reason: str  # of the status line
    text: str
    retry_after: int | None = None  # whole seconds (RFC 9110, 10.2.3)

    def headers(self) -> list[tuple[str, str]]:
        found = [("content-type", "text/plain; charset=utf-8"), ("content-length", str(len(self.body())))]
        if self.retry_after is not None:
            found.append(("retry-after", str(self.retry_after)))
        return found

    def body(self) -> bytes:
        return f"{self.text}\n".encode("utf-8", "replace")


def of_outcome(outcome: Refused | Failed) -> Reply:
    """RFC 9110: 503 with Retry-After for a call turned away, 504 for one without an answer in time."""
    if isinstance(outcome, Refused):
        return Reply(503, "Service Unavailable", "busy, come back later", outcome.retry_after)
    match outcome.why:
        case Failure.GIVEN_UP:
            return Reply(504, "Gateway Timeout", "no answer in time")
        case Failure.UNFIT:
            return Reply(400, "Bad Request", "the call is unfit")
        case _:
            return Reply(500, "Internal Server Error", f"the call failed: {outcome.why.value}")


def of_error(error: RequestError) -> Reply:
    return Reply(400, "Bad Request", str(error))


def of_closed() -> Reply:
    return Reply(503, "Service Unavailable", "the router is closed, come back later", BUSY_AFTER_S)
