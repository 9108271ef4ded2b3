PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := policy wire proxy cli standins
EDITABLE := $(foreach p,$(PACKAGES),-e packages/jackdawcrank-$(p)) -e platform
# Processes that run tests. Beside other load, four took longer than 5 minutes.
TEST_WORKERS ?= 6
SOURCES := packages platform soak bench

.PHONY: demo test lint format types bench clean

$(VENV)/.installed: requirements/dev.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements/dev.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation $(EDITABLE)
	touch $@

demo: $(VENV)/.installed
	$(BIN)/jackdawcrank demo

# The tests mostly wait, so they run in parallel. Those of one file run in one
# process. Tests that depend on short real times run alone after them.
test: $(VENV)/.installed
	status=0; \
	$(BIN)/python -m pytest -m "not serial" -n $(TEST_WORKERS) \
		--dist loadfile --no-loadscope-reorder || status=1; \
	$(BIN)/python -m pytest -m serial || status=1; \
	exit $$status

lint: $(VENV)/.installed
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)

types: $(VENV)/.installed
	$(BIN)/mypy packages/*/src platform/src soak/fault_soak bench

format: $(VENV)/.installed
	$(BIN)/ruff format $(SOURCES)
	$(BIN)/ruff check --fix $(SOURCES)

bench: $(VENV)/.installed
	$(BIN)/python bench/run.py

clean:
	rm -rf $(VENV)
