PYTHON ?= python3.11
VENV := .venv
STAMP := $(VENV)/.installed

.PHONY: demo check bench clean

$(STAMP): requirements/lock.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/python -m pip install --quiet --no-deps -r requirements/lock.txt
	$(VENV)/bin/python -m pip install --quiet --no-deps --no-build-isolation -e .
	touch $(STAMP)

demo: $(STAMP)
	bash scripts/demo.sh

check: $(STAMP)
	$(VENV)/bin/tox run

clean:
	rm -rf $(VENV) .tox build
