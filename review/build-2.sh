#!/usr/bin/env bash
# Prepares the cases 6 to 10, after the deploy file's build: their stand-ins are Python and need no more than that.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m py_compile review/parties2.py review/6/case.py review/7/case.py review/8/case.py \
    review/9/case.py review/10/case.py
