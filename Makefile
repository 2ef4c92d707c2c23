PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: help setup test lint format demo demo-quic soak benchmark clean

help:
	@echo "make demo       run the packet path as processes in a simulated environment"
	@echo "make demo-quic  run the QUIC path in one process in a simulated environment"
	@echo "make test       run all tests"
	@echo "make lint       check formatting and lint"
	@echo "make format     format the code"
	@echo "make soak       run the packet path under random faults, about 5 minutes"
	@echo "make benchmark  run the benchmarks and write their results"

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable ".[test]"
	touch $@

setup: $(VENV)/.installed

test: setup
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

demo: setup
	$(BIN)/plantainyokectl demo

demo-quic: setup
	$(BIN)/plantainyokectl demo-quic

soak: setup
	$(BIN)/python -m soak --seeds 1-12 --jobs 3

benchmark: setup
	$(BIN)/pip install --quiet --editable ".[benchmark]"
	$(BIN)/python benchmarks/bench_forwarding.py
	$(BIN)/python benchmarks/bench_packets.py
	$(BIN)/python benchmarks/bench_fleet.py --deployment diop --seed 1

clean:
	rm -rf $(VENV) build *.egg-info
