# Set-up, checks and demonstrations; each target installs what it needs.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready

.PHONY: setup test demo platform-demo model soak platform-soak measure capacity lint format

$(READY): requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps \
		--no-build-isolation -e .
	touch $(READY)

setup: $(READY)

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

test: setup
	$(BIN)/python -m features.run

demo: setup
	$(BIN)/python -m bench.demo

# A job on the platform's stand-ins: every daemon is killed in the middle, and each
# result is whole and in its place afterwards.
platform-demo: setup
	$(BIN)/python -m behave --no-color features/platform_jobs.feature \
		-n "All daemons are killed in the middle"

model: setup
	$(BIN)/python -m model

soak: setup
	$(BIN)/python -m bench.soak

# Load and seeded faults on the daemons of the users' platform.
platform-soak: setup
	$(BIN)/python -m bench.platform_soak

measure: setup
	$(BIN)/python -m bench.settings_propagation
	$(BIN)/python -m bench.measure

capacity: setup
	$(BIN)/python -m bench.capacity
	$(BIN)/python -m bench.capacity.data_path
