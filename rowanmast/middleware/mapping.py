"""Maps HTTP headers to calls and outcomes to HTTP responses, for both routing middlewares. Has no I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from rowanmast.core.ports import Failure
from rowanmast.embed.outcomes import MAX_WAIT_S, CallRequest, Failed, Refused, RequestError
from rowanmast.routes import parse_integer

CLASS_HEADER, NUMBER_HEADER, DEST_HEADER = "x-call-class", "x-call-number", "x-call-dest"
WAIT_MS_HEADER, VIA_HEADER, WIDTH_HEADER = "x-call-wait-ms", "x-call-via", "x-call-width"
REDIAL_HEADER, AGAIN_HEADER, TEXT_HEADER = "x-call-redial", "x-call-again", "x-call-text"
CLOSED_RETRY_AFTER_S = 1
Headers = Mapping[str, str]  # names in lower case


def from_headers(headers: Headers, klass: str = "", wait_s: float = 0.0) -> CallRequest | None:
    """The call that a request's headers ask for; None if there is no X-Call-Number.

    `headers` has lower-case names. `klass` and `wait_s` (seconds) are the defaults for X-Call-Class and
    X-Call-Wait-Ms. Raises RequestError with a message that names the header or the field.
    """
    number = headers.get(NUMBER_HEADER)
    if number is None:
        return None
    # The middlewares send the texts below to clients in HTTP 400 responses, so they have to stay as they are.
    if DEST_HEADER not in headers:
        raise RequestError(f"{DEST_HEADER}: is missing: the number of the centre that holds the record")
    if WAIT_MS_HEADER in headers:
        wait_s = int_header(headers, WAIT_MS_HEADER) / 1000
    if not 0 < wait_s <= MAX_WAIT_S:
        raise RequestError(f"{WAIT_MS_HEADER}: give 1 to {MAX_WAIT_S * 1000:.0f} milliseconds")
    return CallRequest(
        number=number,
        dest=int_header(headers, DEST_HEADER),
        klass=headers.get(CLASS_HEADER, klass),
        wait_s=wait_s,
        text=headers.get(TEXT_HEADER, ""),
        width=int_header(headers, WIDTH_HEADER) if WIDTH_HEADER in headers else None,
        advised=int_header(headers, VIA_HEADER) if VIA_HEADER in headers else None,
        redialled=headers.get(REDIAL_HEADER) == "1",
        again=headers.get(AGAIN_HEADER) == "1",
    )


def int_header(headers: Headers, name: str) -> int:
    try:
        return parse_integer(headers[name].strip())
    except ValueError as error:
        raise RequestError(f"{name}: {error}") from None


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """A response sent by the middleware in place of the application."""

    status: int
    reason: str  # reason phrase of the status line
    text: str
    retry_after_s: int | None = None  # whole seconds (RFC 9110, 10.2.3)

    def headers(self) -> list[tuple[str, str]]:
        headers = [("content-type", "text/plain; charset=utf-8"), ("content-length", str(len(self.body())))]
        if self.retry_after_s is not None:
            headers.append(("retry-after", str(self.retry_after_s)))
        return headers

    def body(self) -> bytes:
        return f"{self.text}\n".encode("utf-8", "replace")


def response_for_outcome(outcome: Refused | Failed) -> ErrorResponse:
    """By RFC 9110: 503 with Retry-After for a refused call, 504 for one without an answer in time."""
    if isinstance(outcome, Refused):
        return ErrorResponse(503, "Service Unavailable", "busy, come back later", outcome.retry_after)
    match outcome.why:
        case Failure.GIVEN_UP:
            return ErrorResponse(504, "Gateway Timeout", "no answer in time")
        case Failure.UNFIT:
            return ErrorResponse(400, "Bad Request", "the call is unfit")
        case _:
            return ErrorResponse(500, "Internal Server Error", f"the call failed: {outcome.why.value}")


def response_for_request_error(error: RequestError) -> ErrorResponse:
    return ErrorResponse(400, "Bad Request", str(error))


def response_for_closed_router() -> ErrorResponse:
    return ErrorResponse(
        503, "Service Unavailable", "the router is closed, come back later", CLOSED_RETRY_AFTER_S
    )
