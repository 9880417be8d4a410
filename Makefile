# On a fresh machine `make demo` and `make test` install the packages, build and run everything.
BUILD := build-gateway
CMAKE := cmake -S . -G Ninja -DSPOKEWHEEL_TESTS=ON -DSPOKEWHEEL_WERROR=ON
JOBS := $(shell nproc)

ROUNDS ?= 5
SCRIPT ?= kit/scripts/bad-day.yaml
SEED ?= 1
MIXES ?= 2000
SECONDS ?= 20
SEEDS ?= 3
SCHEDULERS ?= 24
# 0: the soak runs without volumes at their limits.
LIMITS ?= 1
# CTEST_EXCLUDE, a regular expression of tests to leave out, must only be set by scripts/known-red.

.PHONY: all setup build test soak sanitize demo bench sizes bad-day matrix limited lists hostile deltas orders format check-format fuzz clean

all: build
setup:
	@scripts/setup
build: setup
	@$(CMAKE) -B $(BUILD) -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	@cmake --build $(BUILD) -j$(JOBS)
test: build
	ctest --test-dir $(BUILD) --output-on-failure -j$(JOBS) $${CTEST_EXCLUDE:+-E "$$CTEST_EXCLUDE"}
sanitize: setup
	@$(CMAKE) -B build-sanitize -DCMAKE_BUILD_TYPE=RelWithDebInfo -DSPOKEWHEEL_SANITIZE=address,undefined >/dev/null
	@cmake --build build-sanitize -j$(JOBS)
	ctest --test-dir build-sanitize --output-on-failure -j$(JOBS) $${CTEST_EXCLUDE:+-E "$$CTEST_EXCLUDE"}
bench: setup
	@$(CMAKE) -B $(BUILD) -DCMAKE_BUILD_TYPE=RelWithDebInfo -DSPOKEWHEEL_BENCH=ON >/dev/null
	@cmake --build $(BUILD) -j$(JOBS)
	$(BUILD)/bin/module_step
	$(BUILD)/bin/gateway_path
# Long measurements that are not part of the tests, one program each.
sizes limited lists hostile deltas: setup
	@$(CMAKE) -B $(BUILD) -DCMAKE_BUILD_TYPE=RelWithDebInfo -DSPOKEWHEEL_BENCH=ON >/dev/null
	@cmake --build $(BUILD) -j$(JOBS)
	$(BUILD)/bin/$@
# Random orders of the events that a scheduler process handles; about 6 s per seed.
orders: build
	SPOKEWHEEL_SEEDS=$(ROUNDS) $(BUILD)/tests/platform_tests --gtest_filter='*Orders*'
# Runs real scheduler processes on loopback under overlapping faults, with different settings for each seed. Set SEED and
# SEEDS=1 to repeat one seed. If a rule was violated, $(BUILD)/soak/seed-N keeps the record, the script and the logs.
soak: build
	$(BUILD)/bin/spokewheel-soak --scheduler $(BUILD)/bin/spokewheeld --shim $(abspath $(BUILD))/bin/spokewheel_faults.so \
	  --folder $(BUILD)/soak --seconds $(SECONDS) --seed $(SEED) --seeds $(SEEDS) --schedulers $(SCHEDULERS) $(if $(filter 0,$(LIMITS)),--no-limits)
bad-day: build
	$(BUILD)/bin/spokewheel bad-day $(SCRIPT) --seed $(SEED) --rounds $(ROUNDS)
matrix: build
	$(BUILD)/bin/spokewheel matrix --seed $(SEED) --rounds $(MIXES)
demo: build
	@scripts/demo $(BUILD)
format:
	@clang-format -i $$(git ls-files '*.cpp' '*.hpp')
check-format: setup
	@clang-format --dry-run --Werror $$(git ls-files '*.cpp' '*.hpp')
clean:
	rm -rf $(BUILD) build-sanitize
