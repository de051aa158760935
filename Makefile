# make demo: set up and run the main job on embedded stand-ins.
# make test: set up and pass formatter, linter and scenarios.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test lint scenarios binary generated clean

demo: $(STAMP)
	$(BIN)/brassdrum demo

test: lint scenarios

lint: $(STAMP)
	$(BIN)/black --check --quiet src features
	$(BIN)/ruff check --quiet src features

scenarios: $(STAMP)
	$(BIN)/behave --format progress --no-capture --no-timings features

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
