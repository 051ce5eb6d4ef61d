"""Our own settings: the example can be read, errors name file, line, field and what would be right."""

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


def test_the_example_of_the_deploy_folder_can_be_read() -> None:
    options = read_options(str(EXAMPLE))
    assert options.iax is not None and options.iax.listen == ("127.0.0.1", 4569)
    assert options.iax.switches == {"s-example": ("127.0.0.1", 4570)}
    pair = options.iax.pair
    assert pair is not None and (pair.parameters.vrid, pair.parameters.priority) == (7, 100)
    assert pair.parameters.preempt and pair.parameters.interval == 100
    assert options.bounds.collect_us == 5_000_000
    assert parse_options("").iax is None, "IAX2 is off where nothing says otherwise"


@pytest.mark.parametrize(
    ("text", "error"),
    [
        (
            'iax {\n  listen: "x"\n}',
            "f:2: iax.listen: 'x' is no address: give host:port, as in 127.0.0.1:4569",
        ),
        (
            'iax { listen: "h:1"\n switches { exchange: "a" address: "h:1" }\n'
            ' switches { exchange: "b"\n  address: "h:0" } }',
            "f:4: iax.switches[1].address: 'h:0' is no address: give host:port, as in 127.0.0.1:4569",
        ),
        (
            'iax { listen: "h:1"\n switches { exchange: "a" address: "h:1" }\n'
            ' switches { exchange: "a" address: "h:2" } }',
            "f:3: iax.switches[1].exchange: 'a' stands here a second time",
        ),
        (
            'iax { listen: "h:1"\n vrrp {\n vrid: 256\n priority: 1 } }',
            "f:3: iax.vrrp.vrid: 256 does not lie between 1 and 255",
        ),
        (
            'iax { listen: "h:1"\n vrrp { vrid: 1 priority: 1\n address: "::1" } }',
            "f:3: iax.vrrp.address: '::1' is no IPv4 address",
        ),
        (
            'iax { listen: "h:1" vrrp { vrid: 1 priority: 1\n interval_cs: 5000 } }',
            "f:2: iax.vrrp.interval_cs: 5000 does not lie between 1 and 4095",
        ),
        (
            "iax {\n vrrp { } }",
            "f:2: iax.vrrp.vrid: 0 does not lie between 1 and 255",
        ),
        ("embedded {\n\n max_open: 0 }", "f:3: embedded.max_open: 0 leaves no room: give 1 or more"),
        (
            "iax {\n lisen: 'x' }",
            'f:2: Message type "rowanmast.options.Iax" has no field named "lisen".',
        ),
        ("iax {", 'f:1: Expected "}".'),
    ],
)
def test_an_error_names_file_line_field_and_what_would_be_right(text: str, error: str) -> None:
    with pytest.raises(ConfigError) as caught:
        parse_options(text, "f")
    assert str(caught.value) == error


def test_check_tells_of_each_file_and_fails_if_one_is_unfit(tmp_path: Path) -> None:
    odd = tmp_path / "odd.txtpb"
    odd.write_text("embedded { collect_ms: 0 }")
    config = str(ROOT / "examples" / "config.json")
    fit = CliRunner().invoke(app, ["check", config, str(EXAMPLE)])
    assert fit.exit_code == 0 and fit.output.count("fit: ") == 2
    unfit = CliRunner().invoke(app, ["check", str(odd), config, str(tmp_path / "none.json")])
    assert unfit.exit_code == 1
    assert f"{odd}:1: embedded.collect_ms: 0 leaves no room" in unfit.output
    assert "fit: router n0" in unfit.output and "No such file" in unfit.output


def test_the_demo_places_calls_and_loses_none() -> None:
    shown = CliRunner().invoke(app, ["demo", "--seconds", "1", "--rate", "40", "--switches", "3"])
    assert shown.exit_code == 0, shown.output
    assert "offered" in shown.output and "toy-3" in shown.output


def test_the_daemon_loads_neither_the_command_line_nor_the_settings_library() -> None:
    code = (
        "import sys, rowanmast.__main__, rowanmast.app.daemon\n"
        "heavy = {'typer', 'rich', 'google.protobuf', 'starlette', 'rowanmast.embed'}\n"
        "print(sorted(heavy & set(sys.modules)))"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert done.stdout == "[]\n"


def test_the_schema_in_python_is_that_of_the_proto_file(tmp_path: Path) -> None:
    source = "rowanmast/options/settings.proto"
    subprocess.run(
        [sys.executable, "-m", "grpc_tools.protoc", "-I.", f"--python_out={tmp_path}", source],
        cwd=ROOT,
        check=True,
    )
    made = tmp_path / "rowanmast" / "options" / "settings_pb2.py"
    assert made.read_text() == (ROOT / "rowanmast" / "options" / "settings_pb2.py").read_text()
