PYTHON ?= python3.11
VENV ?= .venv
BIN = $(VENV)/bin
# An environment that was built for another processor or interpreter is built anew.
BUILT_FOR := $(shell uname -m)-$(shell $(PYTHON) -c 'import platform; print(platform.python_version())')
INSTALLED = $(VENV)/installed-$(BUILT_FOR)

.PHONY: setup demo test check format

setup: $(INSTALLED)

$(INSTALLED): requirements.txt pyproject.toml
	test -e $@ || $(PYTHON) -m venv --clear $(VENV)
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
