.PHONY: build test lint run

build: .venv/made

.venv/made: requirements.txt requirements-dev.txt
	test -d .venv || python3 -m venv .venv
	.venv/bin/pip -q --disable-pip-version-check install -r requirements.txt -r requirements-dev.txt
	touch .venv/made

test: build
	.venv/bin/python -m pytest -q

lint: build
	.venv/bin/ruff check .
	.venv/bin/mypy

# One router against the toy switch and the configuration of examples/.
run: build
	PROXY_CONFIG=examples/config.json .venv/bin/python -m rowanmast
