PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
KNOWN_RED = $(addprefix --known-red=,$(wildcard KNOWN-RED.txt))
PACKAGES = -e packages/core -e packages/jobs -e platform -e packages/daemon \
	-e packages/client

.PHONY: setup test lint format demo clean

setup: $(VENV)/.installed

$(VENV)/.installed: constraints.txt requirements-dev.txt packages/*/pyproject.toml platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --constraint constraints.txt \
		$(PACKAGES) --requirement requirements-dev.txt
	touch $@

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: setup
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

test: lint
	$(BIN)/python -m pytest $(KNOWN_RED)

demo: setup
	$(BIN)/python -m benchmarks.demo

clean:
	rm -rf $(VENV) build
