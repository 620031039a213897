# Development tasks. Each target works in a fresh clone and needs only Python 3.11.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
MINUTES ?= 2
SEED ?= 1

.PHONY: demo up test lint format proto bench soak soak-gateways clean

$(BIN)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $@

lint: $(BIN)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(BIN)/.installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

test: lint
	$(BIN)/python -m test $(ARGS)

demo: $(BIN)/.installed
	$(BIN)/python -m emulator.demo $(ARGS)

bench: $(BIN)/.installed
	$(BIN)/python -m emulator.bench $(ARGS)

up: $(BIN)/.installed
	$(BIN)/python -m emulator.up $(ARGS)

soak: $(BIN)/.installed
	$(BIN)/python -m emulator.soak --seed $(SEED) --minutes $(MINUTES) $(ARGS)

soak-gateways: $(BIN)/.installed
	$(BIN)/python -m emulator.platform.soak --seeds $(SEED) --seconds $$(($(MINUTES) * 60)) $(ARGS)

proto: $(BIN)/.installed
	$(BIN)/python -m grpc_tools.protoc -I. --python_out=. --grpc_python_out=. \
	    heatherswitch/protocol/heatherswitch.proto

clean:
	rm -rf $(VENV) .run .run-soak build *.egg-info
