PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: traces demo test check format scenarios bench bench-rounds bench-takeover bench-policy bench-decisions bench-relay bench-capacity clean

$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt -e '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/saddlestack demo

test: $(STAMP)
	$(BIN)/python -m tests.run

check: $(STAMP)
	$(BIN)/ruff format --check src tests benchmarks
	$(BIN)/ruff check src tests benchmarks
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/ruff format src tests benchmarks
	$(BIN)/ruff check --fix src tests benchmarks

scenarios: $(STAMP)
	$(BIN)/saddlestack scenario scenarios/*.scenario

bench-policy: $(STAMP)
	$(BIN)/python -m benchmarks.policy

bench-decisions: $(STAMP)
	$(BIN)/python -m benchmarks.decisions

bench-rounds: $(STAMP)
	$(BIN)/python -m benchmarks.board

bench-takeover: $(STAMP)
	$(BIN)/python -m benchmarks.takeover

bench-capacity: $(STAMP)
	$(BIN)/python -m benchmarks.capacity
	$(BIN)/python -m benchmarks.capacity --tables

bench: bench-rounds bench-takeover bench-decisions bench-policy bench-relay bench-capacity

bench-relay: $(STAMP)
	$(BIN)/python -m benchmarks.relay

clean:
	rm -rf $(VENV) build *.egg-info src/*.egg-info

traces: $(STAMP)
	for name in ee-day ee-night ee-bad-day is-closing-night is-bad-day; do \
		$(BIN)/saddlestack trace make $$name --seed 1 --scale 0.2 --out traces/$$name.jsonl; \
		$(BIN)/saddlestack trace config $$name > traces/$${name%%-*}.json; \
	done
