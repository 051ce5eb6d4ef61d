"""Q.850 release causes and the notes that come with them, common to all protocols here."""

from __future__ import annotations

from rowanmast import interface as api

NORMAL_CLEARING = 16
TEMPORARY_FAILURE = 41
CONGESTION = 42
MANDATORY_MISSING = 96
INTERWORKING = 127

OUTCOME_BY_CAUSE = {  # releases before the answer; any other cause is CUT
    34: api.Outcome.FULL,  # no circuit available
    17: api.Outcome.BUSY,  # user busy
    47: api.Outcome.BUSY,  # resource unavailable
    102: api.Outcome.NOT_SENT,  # recovery on timer expiry
}
CAUSE_BY_NOTE = {
    "all_trunks_busy": api.Cause.NO_CIRCUIT,
    "via_said_no": api.Cause.CRANKBACK,
    "far_cpu_full": api.Cause.DESTINATION_FULL,
    "cpu_full": api.Cause.PROCESSOR_FULL,
    "number_busy": api.Cause.LINES_BUSY,
}


def outcome_before_answer(cause: int) -> api.Outcome:
    """The outcome of an attempt that was released before its answer."""
    return OUTCOME_BY_CAUSE.get(cause, api.Outcome.CUT)


def outcome_after_answer(cause: int) -> api.Outcome:
    """The outcome of a standing call that was released."""
    return api.Outcome.DONE if cause == NORMAL_CLEARING else api.Outcome.CUT
