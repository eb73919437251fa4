PYTHON ?= python3.11
VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: setup demo test check format

setup: $(VENV)/installed

$(VENV)/installed: requirements.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.txt
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $@

demo: setup
	$(BIN)/python -m standins.demo

test: setup
	$(BIN)/python -m pytest

check: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .
