"""The format and the limit of the list of known failures."""

from __future__ import annotations

import known_red
import pytest

LINE = "tests/test_a.py::test_b | a cause | issue 1"


def test_lines_are_parsed_and_comments_ignored() -> None:
    assert known_red.read_list(f"# remark\n\n{LINE}\n") == [
        known_red.KnownFailure("tests/test_a.py::test_b", "a cause", "issue 1")
    ]


def test_more_than_three_tests_are_rejected() -> None:
    assert len(known_red.read_list("\n".join([LINE] * 3))) == 3
    with pytest.raises(ValueError, match="3 are allowed"):
        known_red.read_list("\n".join([LINE] * 4))
