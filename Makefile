# Targets for developers; the build itself uses CMake. 'make help' lists the targets.
DEPLOYMENT ?= tanagumi
BUILD ?= build
PACKAGES = build-essential clang-format clang-tidy cmake ninja-build pkg-config python3 \
  catch2 libboost-dev libcli11-dev libevent-dev libevhtp-dev libhttp-parser-dev libjsonrpccpp-dev liblog4cplus-dev \
  libmsgpack-cxx-dev librapidcheck-dev libssl-dev libyaml-cpp-dev nlohmann-json3-dev \
  prometheus-cpp-dev
SOURCES = $(shell git ls-files 'Source/*.cc' 'Source/*.h' 'platform/*.cc' 'platform/*.h')

.PHONY: help deps build demo check unit format-check words-check lint integration bench check-asan \
  check-tsan clean

help:
	@echo 'make deps         install the libraries (as root, by apt)'
	@echo 'make build        build everything into $(BUILD)/'
	@echo 'make demo         install, build and run the demo [DEPLOYMENT=tanagumi|sabarmati]'
	@echo 'make check        formatter, linter and all tests'
	@echo 'make check-asan   the unit tests under address and undefined-behaviour sanitizers'
	@echo 'make check-tsan   the unit tests under the thread sanitizer'
	@echo 'make bench        the benchmarks, into build/bench/results.json'

deps: /var/tmp/primrosecove-deps-$(shell echo '$(PACKAGES)' | md5sum | cut -c1-12)

# The hash of the package list in the name causes a new installation when the list changes.
/var/tmp/primrosecove-deps-%:
	apt-get update -qq
	DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends $(PACKAGES) \
	  >/dev/null
	touch $@

build: deps
	cmake -S . -B $(BUILD) -G Ninja >/dev/null
	cmake --build $(BUILD)

demo: build
	PRIMROSECOVE_BUILD=$(BUILD) python3 Tools/demo.py --deployment $(DEPLOYMENT)

check: format-check words-check build lint unit integration

format-check: deps
	clang-format --dry-run -Werror $(SOURCES)

# The platform's names may be used in platform/ only.
words-check:
	python3 Tools/check_words.py

lint: build
	python3 Tools/lint.py $(BUILD)

unit: build
	cd $(BUILD) && ctest --output-on-failure

integration: build
	PRIMROSECOVE_BUILD=$(BUILD) python3 -m unittest discover -s Tests -p '*_test.py'

check-asan:
	cmake -S . -B build-asan -G Ninja -DPRIMROSECOVE_SANITIZE=address,undefined >/dev/null
	cmake --build build-asan --target unit_tests
	# The default quarantine of freed memory would count as growth in the tests of memory use.
	ASAN_OPTIONS=quarantine_size_mb=1 build-asan/unit_tests

check-tsan:
	cmake -S . -B build-tsan -G Ninja -DPRIMROSECOVE_SANITIZE=thread >/dev/null
	cmake --build build-tsan --target unit_tests
	build-tsan/unit_tests

bench: build
	PRIMROSECOVE_BUILD=$(BUILD) python3 Tools/bench.py

clean:
	rm -rf build build-asan build-tsan
