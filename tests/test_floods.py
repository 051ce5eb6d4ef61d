"""One client at full speed must not delay the calls of others or fill the router's memory."""

from __future__ import annotations

import itertools

import pytest
from flood import EXAMPLE, FLOODS, RouterUnderLoad

FLOOD_S = 2.0
OBJECTIVE_S = EXAMPLE["settings"]["services"][0]["objective_ns"] / 1e9  # of the calls' class
MAX_MEDIAN_S = 0.1  # a caller does not notice it
MEMORY_MB = 192  # the platform's limit of a router
MAX_SHARE_OF_MEMORY = 0.5
FLOOD_CASES = list(zip(FLOODS, itertools.cycle((True, False)), strict=False))  # answers read in every other


@pytest.mark.parametrize(("kind", "reads_answers"), FLOOD_CASES)
def test_one_client_at_full_speed_does_not_delay_the_calls_of_others(kind: str, reads_answers: bool) -> None:
    # Other callers' median rose from 1 ms to 0.3-2.2 s, as all that one client had sent was handled at once.
    with RouterUnderLoad(memory_mb=MEMORY_MB) as router:
        seen = router.under_flood(kind, FLOOD_S, reads_answers)
        peak_mb = router.resident_mb()
    assert seen.delays and not seen.unanswered
    assert seen.median < MAX_MEDIAN_S
    assert seen.worst < OBJECTIVE_S
    assert peak_mb < MEMORY_MB * MAX_SHARE_OF_MEMORY
