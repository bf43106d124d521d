# The project's commands. `make demo` and `make check` do everything that they
# need on a fresh machine.

# Compilers running at once.
JOBS ?= $(shell nproc)

.PHONY: packages build check demo matrix mutations process-faults added-latency \
	node-cost sanitize format format-check lint wire

packages:
	scripts/install-packages

build:
	cmake --preset release
	cmake --build build/release -j $(JOBS)

check: packages build
	scripts/run-tests build/release

demo: packages build
	scripts/demo

# Every fault at every step; ARGS chooses other runs, see fault_matrix/main.cc.
matrix: build
	build/release/bin/fault-matrix $(ARGS)

# Real processes killed, frozen and cut off; CASES chooses some of them.
process-faults: build
	scripts/process-faults $(CASES)

# What one entry adds to a first token. On an idle machine only.
added-latency: build
	scripts/added-latency

# What entries and stewards cost, at rest and under load. On an idle machine.
node-cost: build
	scripts/node-cost

# Each mechanism taken away in turn, and what notices; THREADS limits it.
mutations: build
	scripts/mutations build/release

sanitize:
	cmake --preset sanitize
	cmake --build build/sanitize -j $(JOBS) --target all_tests
	scripts/run-tests build/sanitize

format:
	scripts/own-sources | xargs clang-format -i

format-check:
	scripts/own-sources | xargs clang-format --dry-run --Werror

lint:
	cmake --preset lint
	scripts/lint build/lint

wire:
	cd wire && for file in wire routing; do \
	  thrift --gen cpp:no_skeleton,moveable_types -out gen $$file.thrift; done
	# Any number may come from a peer: with a fixed underlying type each is a
	# valid value, which the code then refuses or ignores.
	sed -i 's/^  enum type {/  enum type : int32_t {/' wire/gen/*_types.h
