VENV ?= .venv
PYTHON ?= python3
RUN = $(VENV)/bin/python -m
SOURCES = corianderrill benchmarks extras tests

.PHONY: install demo test check format measure soak gateway-soak histories binary manual

install: $(VENV)/.installed

$(VENV)/.installed: requirements.lock pyproject.toml
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/python -m pip install --quiet --requirement requirements.lock
	$(VENV)/bin/python -m pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

check: install
	$(RUN) ruff format --check $(SOURCES)
	$(RUN) ruff check $(SOURCES)

format: install
	$(RUN) ruff format $(SOURCES)
	$(RUN) ruff check --fix $(SOURCES)

test: check
	$(VENV)/bin/python extras/run_tests.py

measure: install
	$(RUN) benchmarks.measure $(SCENARIO) $(if $(SEEDS),--seeds $(SEEDS)) $(if $(SECONDS),--seconds $(SECONDS))

soak: install
	$(RUN) benchmarks.soak --seed $(SEED) --seconds $(SECONDS)

gateway-soak: install
	$(RUN) benchmarks.gateways $(if $(SEED),--seed $(SEED)) $(if $(SECONDS),--seconds $(SECONDS)) $(if $(HOSTS),--hosts $(HOSTS))

histories: install
	$(RUN) benchmarks.histories $(if $(SEED),--seed $(SEED)) $(if $(HISTORIES),--histories $(HISTORIES))

demo: install
	$(RUN) corianderrill demo

manual: install
	$(RUN) corianderrill.manual docs/OPERATORS.md

binary: install
	$(VENV)/bin/python extras/binary.py dist/corianderrill
