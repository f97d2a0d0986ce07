# Developer commands; each one installs what it needs into .venv first.
PYTHON ?= python3
BIN := .venv/bin
STAMP := .venv/.installed

.PHONY: demo test lint format golden bench capacity docs binary soak clean

$(STAMP): pyproject.toml requirements.lock
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check --requirement requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --editable .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/mulberryquay demo

test: $(STAMP)
	$(BIN)/python -m testing.run

lint: $(STAMP)
	$(BIN)/ruff format --check src testing benchmarks platform
	$(BIN)/flake8 src testing benchmarks platform
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/ruff format src testing benchmarks platform

golden: $(STAMP)
	MULBERRYQUAY_RENEW_GOLDEN=1 $(BIN)/python -m testing.run test_sessions

bench: $(STAMP)
	$(BIN)/python -m benchmarks.run

capacity: $(STAMP)
	$(BIN)/python -m benchmarks.capacity

docs: $(STAMP)
	$(BIN)/python -m mulberryquay.commands.reference docs

binary: $(STAMP)
	mkdir -p dist
	$(BIN)/shiv --console-script mulberryquay --output-file dist/mulberryquay \
		--constraint requirements.lock --quiet .

soak: $(STAMP)
	MULBERRYQUAY_SOAK=1 MULBERRYQUAY_SOAK_RUNS=50 $(BIN)/python -m testing.run \
		test_claims test_shares test_store test_search test_wire test_fuzz \
		test_messages test_any_row test_target_ends test_soak

clean:
	rm -rf .venv build dist .mypy_cache .ruff_cache
