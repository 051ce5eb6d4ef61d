"""Q.850 causes of releases and the notes beside them, as every wire here uses them."""

from __future__ import annotations

from rowanmast import interface as api

NORMAL_CLEARING = 16
TEMPORARY_FAILURE = 41
CONGESTION = 42
MANDATORY_MISSING = 96
INTERWORKING = 127

REFUSALS = {  # a release before the answer
    34: api.Outcome.FULL,
    17: api.Outcome.BUSY,
    47: api.Outcome.BUSY,
    102: api.Outcome.NOT_SENT,
}
NOTES = {
    "all_trunks_busy": api.Cause.NO_CIRCUIT,
    "via_said_no": api.Cause.TURNED_BACK,
    "far_cpu_full": api.Cause.FULL_BEYOND,
    "cpu_full": api.Cause.PROCESSOR_FULL,
    "number_busy": api.Cause.LINES_BUSY,
}


def of_refusal(cause: int) -> api.Outcome:
    """How an attempt ended that was released before its answer."""
    return REFUSALS.get(cause, api.Outcome.CUT)


def of_release(cause: int) -> api.Outcome:
    """How a call ended that stood."""
    return api.Outcome.DONE if cause == NORMAL_CLEARING else api.Outcome.CUT
