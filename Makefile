PYTHON ?= python3.11
BIN := .venv/bin

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
	$(BIN)/pytest

demo: setup
	$(BIN)/python -m bench demo
