PYTHON ?= python3.11
BIN := .venv/bin
SEED ?= 1
RUNS ?= 50

# The order of sets is part of what a seed decides.
export PYTHONHASHSEED := 0

.PHONY: setup test lint format soak bench capacity demo

setup: .venv/.ready

.venv/.ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --require-hashes -r requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

test: setup
	$(BIN)/python -m pytest -n 4 -m "not soak"

soak: setup
	SOAK_SEED=$(SEED) SOAK_RUNS=$(RUNS) $(BIN)/python -m pytest -m soak

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: setup
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

bench: setup
	$(BIN)/python -m bench $(NAME)

capacity: setup
	$(BIN)/python -m bench capacity

demo: setup
	$(BIN)/python -m bench.demo
