PYTHON ?= python3.11
BIN := .venv/bin
# Tests that fail because of a fault that is not fixed yet.
KNOWN_RED := $(shell sed -n 's/^test: *//p' KNOWN-RED.txt)

.PHONY: setup test demo lint

setup: .venv/.ready

.venv/.ready: requirements.txt pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --requirement requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch .venv/.ready

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 .
	$(BIN)/mypy

test: lint
	$(BIN)/pytest $(addprefix --deselect=,$(KNOWN_RED))

demo: setup
	$(BIN)/python -m bench demo
