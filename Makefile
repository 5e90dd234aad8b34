# The two commands for a fresh machine are `make demo` and `make test`.
BUILD ?= build
JOBS ?= $(shell nproc)
TEST_JOBS ?= 4
SOURCES = $(shell git ls-files -co --exclude-standard '*.cc' '*.h')

.PHONY: all deps build demo test lint format bench sanitize clean

all: build

# Installs what the build, the tests and the model checker need. A stamp keeps
# it from running again.
deps: $(BUILD)/.deps
$(BUILD)/.deps: Makefile
	apt-get update -qq
	DEBIAN_FRONTEND=noninteractive apt-get install -y -qq g++ make cmake \
	  ninja-build libasio-dev librestinio-dev libnghttp2-dev \
	  libcurl4-openssl-dev libspdlog-dev libabsl-dev libgtest-dev \
	  libgmock-dev libboost-dev nlohmann-json3-dev libssl-dev \
	  libhttp-parser-dev libbenchmark-dev librapidcheck-dev spin clang-format clang-tidy-16
	mkdir -p $(BUILD) && touch $@

build: deps
	cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo
	cmake --build $(BUILD) -j $(JOBS)

demo: build
	BUILD=$(BUILD) scripts/demo.sh

test: build
	scripts/test.sh $(BUILD) $(TEST_JOBS)

# The formatter's and the linter's findings are errors.
lint: build
	scripts/check_names.sh
	clang-format --dry-run -Werror $(SOURCES)
	printf "%s\n" $(filter %.cc,$(SOURCES)) | \
	  xargs -P $(JOBS) -n 1 scripts/tidy.sh $(BUILD)

bench: build
	$(BUILD)/bench/routing_bench
	$(BUILD)/bench/overload_bench
	$(BUILD)/bench/even_placement_bench
	bench/load.sh
	$(BUILD)/bench/fleet_bench

format:
	clang-format -i $(SOURCES)

# Tests under AddressSanitizer with UndefinedBehaviorSanitizer, then under
# ThreadSanitizer.
sanitize: deps
	for kind in address thread; do \
	  cmake -S . -B $(BUILD)-$$kind -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
	    -DMANGOHOLD_SANITIZER=$$kind && \
	  cmake --build $(BUILD)-$$kind -j $(JOBS) && \
	  ASAN_OPTIONS=alloc_dealloc_mismatch=0 ctest --test-dir $(BUILD)-$$kind -j $(TEST_JOBS) --output-on-failure \
	    || exit 1; \
	done

clean:
	rm -rf build build-address build-thread
