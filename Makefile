# `make test` checks everything; `make demo` shows it at work, in under two minutes.
PYTHON ?= python3
BIN := .venv/bin

.PHONY: test demo soak

test: .venv/installed
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/python -m pytest -q

demo: .venv/installed
	$(BIN)/kelpjunction lab run examples/demo.toml

.venv/installed: requirements.txt requirements-lab.txt requirements-ledger.txt requirements-tickets.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/python -m pip install -q -r requirements-dev.txt
	$(BIN)/python -m pip install -q --no-deps -e .
	touch $@

# A long soak by hand: make soak SEEDS=10000:11000 MINUTES=10 PROCESSES=4
SEEDS ?= 10000:11000
MINUTES ?= 10
PROCESSES ?= 2
soak: .venv/installed
	$(BIN)/python tests/soak.py --seeds $(SEEDS) --minutes $(MINUTES) --processes $(PROCESSES)
