# Targets for a fresh machine that has Python 3.11, make and git.
PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
# Modules of tests that run at a time; they mostly wait.
JOBS ?= 4

.PHONY: demo serve test docs bench soak clean

$(VENV)/installed: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q -c constraints.txt -e '.[dev]'
	touch $@

demo: $(VENV)/installed
	$(BIN)/python -m demo.session

serve: $(VENV)/installed
	$(BIN)/python -m demo.session --stay

test: $(VENV)/installed
	$(BIN)/python -m tests --jobs $(JOBS)

docs: $(VENV)/installed
	$(BIN)/python -m docs.generate --check
	$(BIN)/python -m sphinx -q -W -b html docs docs/_build/html

bench: $(VENV)/installed
	$(BIN)/python -m bench

soak: $(VENV)/installed
	$(BIN)/python -m soak --seed $(or $(SEED),1) --minutes $(or $(MINUTES),2)

clean:
	rm -rf $(VENV) docs/_build run
