"""Rowanmast's settings file and its errors; the commands `check` and `demo`; the generated schema."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest
from typer.testing import CliRunner

from rowanmast.cli.main import app
from rowanmast.config import ConfigError
from rowanmast.options.reader import parse_options, read_options

ROOT = Path(__file__).resolve().parent.parent
EXAMPLE = ROOT / "deploy" / "rowanmast.example.txtpb"


def test_example_settings_file_is_read() -> None:
    options = read_options(str(EXAMPLE))
    assert options.iax is not None and options.iax.listen == ("127.0.0.1", 4569)
    assert options.iax.switches == {"s-example": ("127.0.0.1", 4570)}
    pair = options.iax.pair
    assert pair is not None and (pair.parameters.vrid, pair.parameters.priority) == (7, 100)
    assert pair.parameters.preempt and pair.parameters.interval == 100
    assert options.bounds.collect_us == 5_000_000
    assert parse_options("").iax is None, "IAX2 is off by default"


@pytest.mark.parametrize(
    ("text", "error"),
    [
        (
            'iax {\n  listen: "x"\n}',
            "f:2: iax.listen: 'x' is not an address: give host:port, as in 127.0.0.1:4569",
        ),
        (
            'iax { listen: "h:1"\n switches { exchange: "a" address: "h:1" }\n'
            ' switches { exchange: "b"\n  address: "h:0" } }',
            "f:4: iax.switches[1].address: 'h:0' is not an address: give host:port, as in 127.0.0.1:4569",
        ),
        (
            'iax { listen: "h:1"\n switches { exchange: "a" address: "h:1" }\n'
            ' switches { exchange: "a" address: "h:2" } }',
            "f:3: iax.switches[1].exchange: 'a' is listed twice",
        ),
        (
            'iax { listen: "h:1"\n vrrp {\n vrid: 256\n priority: 1 } }',
            "f:3: iax.vrrp.vrid: 256 is not between 1 and 255",
        ),
        (
            'iax { listen: "h:1"\n vrrp { vrid: 1 priority: 1\n address: "::1" } }',
            "f:3: iax.vrrp.address: '::1' is not an IPv4 address",
        ),
        (
            'iax { listen: "h:1" vrrp { vrid: 1 priority: 1\n interval_cs: 5000 } }',
            "f:2: iax.vrrp.interval_cs: 5000 is not between 1 and 4095",
        ),
        (
            "iax {\n vrrp { } }",
            "f:2: iax.vrrp.vrid: 0 is not between 1 and 255",
        ),
        ("embedded {\n\n max_open: 0 }", "f:3: embedded.max_open: 0 is too small: give 1 or more"),
        (
            "iax {\n lisen: 'x' }",
            'f:2: Message type "rowanmast.options.Iax" has no field named "lisen".',
        ),
        ("iax {", 'f:1: Expected "}".'),
    ],
)
def test_error_names_file_line_field_and_expected_value(text: str, error: str) -> None:
    with pytest.raises(ConfigError) as caught:
        parse_options(text, "f")
    assert str(caught.value) == error


def test_check_reports_each_file_and_fails_if_one_is_invalid(tmp_path: Path) -> None:
    bad_settings = tmp_path / "odd.txtpb"
    bad_settings.write_text("embedded { collect_ms: 0 }")
    config = str(ROOT / "examples" / "config.json")
    valid = CliRunner().invoke(app, ["check", config, str(EXAMPLE)])
    assert valid.exit_code == 0 and valid.output.count("valid: ") == 2
    invalid = CliRunner().invoke(app, ["check", str(bad_settings), config, str(tmp_path / "none.json")])
    assert invalid.exit_code == 1
    assert f"{bad_settings}:1: embedded.collect_ms: 0 is too small" in invalid.output
    assert "valid: router n0" in invalid.output and "No such file" in invalid.output


def test_demo_places_calls_and_loses_none() -> None:
    shown = CliRunner().invoke(app, ["demo", "--seconds", "1", "--rate", "40", "--switches", "3"])
    assert shown.exit_code == 0, shown.output
    assert "offered" in shown.output and "toy-3" in shown.output


def test_daemon_does_not_import_optional_libraries() -> None:
    code = (
        "import sys, rowanmast.__main__, rowanmast.app.daemon\n"
        "heavy = {'typer', 'rich', 'google.protobuf', 'starlette', 'rowanmast.embed'}\n"
        "print(sorted(heavy & set(sys.modules)))"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert done.stdout == "[]\n"


def test_generated_python_schema_matches_proto_file(tmp_path: Path) -> None:
    source = "rowanmast/options/settings.proto"
    subprocess.run(
        [sys.executable, "-m", "grpc_tools.protoc", "-I.", f"--python_out={tmp_path}", source],
        cwd=ROOT,
        check=True,
    )
    made = tmp_path / "rowanmast" / "options" / "settings_pb2.py"
    assert made.read_text() == (ROOT / "rowanmast" / "options" / "settings_pb2.py").read_text()
