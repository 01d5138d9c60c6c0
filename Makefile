VENV ?= .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: test demo setup format

setup: $(STAMP)

$(STAMP): requirements.txt requirements-dev.txt pyproject.toml
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements-dev.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation -e .
	touch $(STAMP)

test: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/vulture
	$(BIN)/python tools/run_tests.py

demo: setup
	$(BIN)/pewtertack lab demo

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .
