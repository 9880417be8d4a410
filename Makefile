# Two commands do all on a fresh machine: `make demo` and `make test`.
BUILD := build-gateway
CMAKE := cmake -S . -G Ninja -DSPOKEWHEEL_TESTS=ON -DSPOKEWHEEL_WERROR=ON
JOBS := $(shell nproc)

.PHONY: all setup build test sanitize demo format check-format fuzz clean

all: build
setup:
	@scripts/setup
build: setup
	@$(CMAKE) -B $(BUILD) -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	@cmake --build $(BUILD) -j$(JOBS)
test: build
	ctest --test-dir $(BUILD) --output-on-failure -j$(JOBS)
sanitize: setup
	@$(CMAKE) -B build-sanitize -DCMAKE_BUILD_TYPE=RelWithDebInfo -DSPOKEWHEEL_SANITIZE=address,undefined >/dev/null
	@cmake --build build-sanitize -j$(JOBS)
	ctest --test-dir build-sanitize --output-on-failure -j$(JOBS)
demo: build
	@scripts/demo $(BUILD)
format:
	@clang-format -i $$(git ls-files '*.cpp' '*.hpp')
check-format: setup
	@clang-format --dry-run --Werror $$(git ls-files '*.cpp' '*.hpp')
clean:
	rm -rf $(BUILD) build-sanitize
