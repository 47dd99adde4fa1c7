# make test: what CI runs.  make demo: a node at work on an emulated fleet.  make clean: removes what both made.
# make sites: lays the files that the bench wants beside the deployments in deploy/sites/ (KIT: where the kit is).
PYTHON ?= python3
KIT ?= ../given/kit
ENV := .venv-ci
BIN := $(ENV)/bin
MADE_FROM := $(ENV)/made-from

# An environment holds absolute paths: one made elsewhere, or from another pyproject.toml, is no use.
WANTED = { echo "$(CURDIR)"; cat pyproject.toml; }

.PHONY: env test demo sites clean

env:
	@$(WANTED) | cmp -s - $(MADE_FROM) 2>/dev/null || { \
	    rm -rf $(ENV) && \
	    $(PYTHON) -m venv $(ENV) && \
	    $(BIN)/python -m pip install -q --disable-pip-version-check -e '.[dev]' && \
	    $(WANTED) > $(MADE_FROM); }

test: export PYTHONHASHSEED = 0
test: env
	$(BIN)/ruff check violetsaddle tests examples benchmarks deploy
	$(BIN)/ruff format --check violetsaddle tests examples benchmarks deploy
	$(BIN)/mypy
	$(BIN)/python examples/in_process.py
	$(BIN)/python -m pytest -q

demo: env
	$(BIN)/violetsaddle demo

sites:
	ln -sf $(abspath $(KIT))/sites/real.json $(abspath $(KIT))/sites/wire.json $(abspath $(KIT))/sites/unlock.txt \
	    deploy/sites/
	$(PYTHON) deploy/sites/replace_tenants.py $(KIT)/sites/austin-east.toml deploy/sites/tenants-47.toml \
	    austin-east-47 > deploy/sites/austin-east-47.toml

clean:
	rm -rf $(ENV) .mypy_cache .ruff_cache .pytest_cache build violetsaddle.egg-info
	find violetsaddle tests examples benchmarks -name __pycache__ -prune -exec rm -rf {} +
