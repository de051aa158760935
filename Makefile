# make demo: set up and run the main job on embedded stand-ins.
# make test: set up and pass formatter, linter and scenarios, JOBS features at a time.
PYTHON ?= python3
# Scenarios with real daemons need most of a core each.
JOBS ?= 3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

# Those that take longest begin first, so that none of them ends alone.
LONG_FEATURES := load soak fair_shares slow_endpoints cut_off_load endings parts quarantine
FEATURES := $(basename $(notdir $(wildcard features/*.feature)))
ifneq ($(filter-out $(FEATURES),$(LONG_FEATURES)),)
$(error no such feature: $(filter-out $(FEATURES),$(LONG_FEATURES)))
endif
ORDERED := $(filter $(FEATURES),$(LONG_FEATURES)) $(filter-out $(LONG_FEATURES),$(FEATURES))

.PHONY: demo test lint scenarios binary generated clean $(FEATURES:%=feature-%)

demo: $(STAMP)
	$(BIN)/brassdrum demo

test: lint scenarios

lint: $(STAMP)
	$(BIN)/black --check --quiet src features
	$(BIN)/ruff check --quiet src features

scenarios: $(STAMP)
	$(MAKE) --no-print-directory --keep-going --output-sync=target -j $(JOBS) \
		$(ORDERED:%=feature-%)

$(FEATURES:%=feature-%): feature-%: $(STAMP)
	$(BIN)/behave --format progress --no-capture --no-timings features/$*.feature

binary: $(STAMP)
	rm -rf build/binary && mkdir -p dist build/binary
	$(BIN)/pip install --quiet --disable-pip-version-check --no-compile \
		--target build/binary -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-compile --no-deps \
		--no-build-isolation --target build/binary .
	$(BIN)/python tools/build_binary.py build/binary dist/brassdrum

# The generated code is committed; this makes it anew after a change of the .proto file.
generated: $(STAMP)
	$(BIN)/python -m grpc_tools.protoc -Isrc --python_out=src --grpc_python_out=src \
		src/brassdrum/membership/peer.proto

$(STAMP): requirements.txt requirements-dev.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(STAMP)

clean:
	rm -rf $(VENV) build dist
