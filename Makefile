# Everyday tasks. PYTHON makes the environment; the rest runs in it.
PYTHON ?= python3
BIN := .venv/bin

.PHONY: build test lint run rehearse demo clean

build: .venv/built

.venv/built: pyproject.toml requirements.txt
	test -d .venv || $(PYTHON) -m venv .venv
	$(BIN)/pip -q install -e '.[dev]'
	touch $@

test: build
	$(BIN)/pytest

lint: build
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/mypy

run:
	test -d .venv || ($(PYTHON) -m venv .venv && .venv/bin/pip -q install -r requirements.txt)
	exec $(BIN)/python -m ashvale

rehearse: build
	$(BIN)/python -m ashvale.rehearsal

# A newcomer's first minute: three real couriers that agree, with faults, a verdict and a report.
demo: build
	$(BIN)/ashvale lab fleet --report demo-report.json

clean:
	rm -rf .venv .mypy_cache .pytest_cache .ruff_cache *.egg-info
