"""`python -m rowanmast`: the daemon, or with arguments a sub-command of the command line."""

from __future__ import annotations

import sys


def main() -> int:
    """Without arguments nothing of the command line is loaded: the platform starts us this way."""
    if len(sys.argv) > 1:
        from rowanmast.cli.main import app

        app()  # does not return
    from rowanmast.app.daemon import main as daemon

    return daemon()


if __name__ == "__main__":
    sys.exit(main())
