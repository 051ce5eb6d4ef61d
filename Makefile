.PHONY: build test lint run schema bench api demo

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

# Our settings' schema as Python, after a change of it.
schema: build
	.venv/bin/python -m grpc_tools.protoc -I. --python_out=. --pyi_out=. rowanmast/options/settings.proto

# Calls a second and added delay of the bare ledger, the library and the daemon, side by side; some minutes.
bench: build
	.venv/bin/python -m benchmarks

# docs/api.md, from the code.
api: build
	.venv/bin/python -m tools.api_reference

# A router with toy switches and stations on loopback for some seconds: what a newcomer runs first.
demo: build
	.venv/bin/python -m rowanmast demo
