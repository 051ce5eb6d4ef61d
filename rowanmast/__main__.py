"""Entry point: the daemon if there are no arguments, otherwise the command line."""

from __future__ import annotations

import sys


def main() -> int:
    """Runs the daemon if there are no arguments, as on the platform, without loading the command line."""
    if len(sys.argv) > 1:
        from rowanmast.cli.main import app

        app()  # does not return
    from rowanmast.app.daemon import main as daemon

    return daemon()


if __name__ == "__main__":
    sys.exit(main())
