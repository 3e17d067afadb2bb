# Every command sets up its own environment first; `make check` is all that CI runs.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup test lint check demo bench report soak clean

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

test: setup
	$(BIN)/python -m pytest tests -n 4 --dist loadgroup

lint: setup
	$(BIN)/ruff format --check src tests bench deploy
	$(BIN)/ruff check src tests bench deploy
	$(BIN)/mypy

check: lint test

demo: setup
	$(BIN)/python -m swifttrestle_standins.demo $(ARGS)
	$(BIN)/python -m swifttrestle_standins.hosted.demo

bench: setup
	$(BIN)/python -m bench

# One page of what the standard days were worth, from the journal.
report: setup
	$(BIN)/python -m bench report

soak: setup
	$(BIN)/python -m pytest tests/quality -n 2 --soak

clean:
	rm -rf $(VENV) build
