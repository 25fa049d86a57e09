VENV := .venv
PYTHON := $(VENV)/bin/python
SOURCES := packages platform standins tests
STAMP := $(VENV)/installed.stamp

export PYTHONPATH := $(CURDIR):$(CURDIR)/packages/core:$(CURDIR)/packages/node:$(CURDIR)/packages/command:$(CURDIR)/platform

.PHONY: run test fuzz lint format clean

$(STAMP): requirements.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet -r requirements-dev.txt
	$(PYTHON) -m pip install --quiet --no-build-isolation --no-deps \
		-e packages/core -e packages/node -e packages/command -e platform
	touch $(STAMP)

run: $(STAMP)
	$(PYTHON) -m standins.demo

lint: $(STAMP)
	$(PYTHON) -m black --check --quiet $(SOURCES)
	$(PYTHON) -m ruff check --quiet $(SOURCES)

format: $(STAMP)
	$(PYTHON) -m black --quiet $(SOURCES)
	$(PYTHON) -m ruff check --quiet --fix $(SOURCES)

test: lint
	$(PYTHON) -m nose2 --config nose2.cfg

fuzz: $(STAMP)
	ORIOLELOFT_EXAMPLES=fresh $(PYTHON) -m nose2 --config nose2.cfg \
		test_slowstart test_retrybudget test_registry test_updates test_numericinput test_boundaries test_ratelimits

clean:
	rm -rf $(VENV) out
