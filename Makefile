# Targets: build, run, generate, lint, test, soak, measure, faults,
# sidecar-faults. See README.md.

GO ?= go
BIN := bin
SEED ?= 1
STEPS ?= 1000000
MINUTES ?= 3

.PHONY: build generate run test lint soak measure faults sidecar-faults

build:
	$(GO) build -o $(BIN)/ ./cmd/...

run: build
	./scripts/run.sh

generate:
	$(GO) generate ./...

lint:
	@unformatted="$$(gofmt -l $$(git ls-files '*.go'))"; \
	if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...
	GO="$(GO)" ./scripts/check-promises.sh

test: lint
	GO="$(GO)" ./scripts/test.sh

# Writes docs/capacity/series and generates docs/CAPACITY.md from it.
measure: build
	BIN=$(BIN) scripts/measure.sh

# Kills, pauses, log faults, publish races and drains on real processes, generated from SEED.
faults: build
	BIN=$(BIN) SEED=$(SEED) MINUTES=$(MINUTES) ./scripts/faults.sh

# Faults on parsley-sidecar as real processes, generated from SEED.
sidecar-faults: build
	BIN=$(BIN) SEED=$(SEED) MINUTES=$(MINUTES) ./scripts/sidecar-faults.sh

soak:
	$(GO) run ./cmd/parsley-soak --seed $(SEED) --steps $(STEPS)
