PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
PROJECTS := kernel daemon operator standins

.PHONY: run demo test bench check setup soak

setup: $(STAMP)

$(STAMP): requirements.txt $(PROJECTS:%=packages/%/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements.txt
	$(BIN)/pip install -q --no-build-isolation --no-deps $(PROJECTS:%=-e packages/%) -e platform
	touch $@

run: setup
	$(BIN)/python -m bronzeline_standins run

demo: setup
	$(BIN)/python -m bronzeline_standins demo

test: setup
	$(BIN)/python .ci/run_tests.py

bench: setup
	@$(BIN)/python -m bronzeline_standins bench $(if $(SCENARIO),--scenario $(SCENARIO)) $(if $(SEED),--seed $(SEED))

soak: setup
	$(BIN)/python -m bronzeline_platform.tests.soak $(if $(CALLS),--calls) $(if $(LOAD),--load) $(if $(SEEDS),--seeds $(SEEDS)) $(if $(SEED),--seed $(SEED))

check: setup
	$(BIN)/ruff format --check packages platform .ci
	$(BIN)/ruff check packages platform .ci
	$(BIN)/mypy
