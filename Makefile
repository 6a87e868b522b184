# Start with `make demo` and `make check`.

BUILD ?= build
SAN_BUILD ?= build-sanitize
SEEDS ?= 20
SOURCES := $(shell git ls-files '*.c' '*.h' 2>/dev/null | grep -v 'pb-c\.[ch]$$')

PACKAGES := git gcc make cmake pkg-config libevent-dev libprotobuf-c-dev \
  libcmocka-dev libjansson-dev libxxhash-dev libbsd-dev uthash-dev \
  libhttp-parser-dev libzstd-dev curl gnuplot-nox spin

.PHONY: deps build sanitize test check demo lint format soak model bench report \
  pages clean

# Installs missing packages; needs apt and the right to install.
deps:
	@missing=$$(for p in $(PACKAGES); do \
	  dpkg -s $$p >/dev/null 2>&1 || echo $$p; done); \
	if [ -n "$$missing" ]; then \
	  apt-get update -qq && apt-get install -y -qq $$missing; fi

build:
	@cmake -S . -B $(BUILD) > /dev/null
	@cmake --build $(BUILD) -j $$(nproc) > $(BUILD)/build.log 2>&1 \
	  || { cat $(BUILD)/build.log; exit 1; }

sanitize:
	@cmake -S . -B $(SAN_BUILD) -DCAMPHOR_SANITIZE=ON > /dev/null
	@cmake --build $(SAN_BUILD) -j $$(nproc) > $(SAN_BUILD)/build.log 2>&1 \
	  || { cat $(SAN_BUILD)/build.log; exit 1; }

test: build
	@tests/run.sh $(BUILD)

check: deps
	@$(MAKE) --no-print-directory test

demo: deps build
	@tools/demo.sh

format:
	@clang-format -i $(SOURCES)

lint: build
	@tools/lint.sh $(BUILD)

soak: build
	@$(BUILD)/tests/world/soak --seeds $(SEEDS)

model:
	@tests/model/run.sh

bench: build
	@$(BUILD)/tests/bench/bench
	@tools/path.sh

report: bench
	@tools/report.sh

pages: build
	@$(BUILD)/packages/daemon/camphorarchd --print-events > docs/events.md
	@$(BUILD)/packages/daemon/camphorarchd --print-errors > docs/errors.md
	@$(BUILD)/packages/daemon/camphorarchd --print-settings-page > docs/settings.md

clean:
	rm -rf $(BUILD) $(SAN_BUILD) out
