# Every target builds the environment it needs from the lock file.
PYTHON ?= python3
BIN := .venv/bin
STAMP := .venv/installed

.PHONY: demo serve test format lint types layers tests bench lock reference capacity soak

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/quetzalctl demo
	$(BIN)/quetzalctl demo --platform

serve: $(STAMP)
	$(BIN)/quetzalctl demo --serve --callers 127.0.0.1:8080

test: format lint types layers tests

format: $(STAMP)
	$(BIN)/ruff format --check --quiet .

lint: $(STAMP)
	$(BIN)/flake8 quetzalcourse bench soak tools

types: $(STAMP)
	$(BIN)/mypy quetzalcourse bench soak tools

layers: $(STAMP)
	$(BIN)/lint-imports

tests: $(STAMP)
	$(BIN)/python -m pytest -n 8 --dist worksteal

bench: $(STAMP)
	$(BIN)/python -m bench $(if $(ONLY),--only $(ONLY))

lock:
	$(BIN)/pip-compile --quiet --strip-extras --no-emit-index-url --no-emit-trusted-host --no-emit-find-links --extra dev -o requirements.lock pyproject.toml

reference: $(STAMP)
	$(BIN)/python -m quetzalcourse.settings.reference docs/reference

capacity: $(STAMP)
	$(BIN)/python -m bench.capacity_page

soak: $(STAMP)
	$(BIN)/python -m soak $(if $(SEED),--seeds $(SEED)) $(if $(SECONDS_EACH),--seconds $(SECONDS_EACH)) $(if $(DAEMONS),--daemons $(DAEMONS))
