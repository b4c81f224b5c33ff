# Entry points for people and CI; the build itself is CMake's.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all deps build test soak regression lint format check-spec demo run bench proto clean

all: build

deps:
	scripts/install_dependencies.sh

build:
	cmake -S . -B $(BUILD) -G Ninja > /dev/null
	cmake --build $(BUILD) -- -j $(JOBS)

test: deps build
	scripts/run_tests.sh $(BUILD)

# Random faults on real gateway processes; SEED and SECONDS choose which and how long, GROWTH how many
# series of growths of the operators' table (machines have narrow links then).
soak: deps build
	test/platform_soak/soak.py $(BUILD) --seed $(or $(SEED),1) --seconds $(or $(SECONDS),60) \
	  --growth $(or $(GROWTH),0)

# The users' deployments on their bench, against the figures last landed. KIT: folder of their pages.
KIT ?= ../given/kit/more/system
regression:
	scripts/regression.py --bench $(KIT)/more/bench-d17393/bin/fleetbench --sites $(KIT) \
	  --landed docs/regression.json --why "regression" $(REGRESSION)

check-spec: deps
	scripts/check_spec.sh

lint: deps build
	scripts/lint.sh $(BUILD)

format:
	git ls-files '*.cpp' '*.h' | grep -v src/generated | xargs clang-format -i

proto:
	protoc -I proto --cpp_out=src/generated proto/*.proto

demo: deps build
	scripts/demo.sh $(BUILD)

run: deps build
	scripts/run.sh $(BUILD)

bench: deps build
	scripts/bench.sh $(BUILD)

clean:
	rm -rf $(BUILD)
