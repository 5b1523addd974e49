# build, test, lint, run: the one place for the commands that README names.
.PHONY: build test lint fuzz run toy soak

GOLANGCI_LINT = github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0

build:
	mkdir -p bin
	CGO_ENABLED=1 go build -buildvcs=false -ldflags=-linkmode=external -o bin/ ./cmd/...

# Failures whose cause is known and not fixed yet, one line each. A line that begins with a test's name has that test skipped;
# others are only printed.
KNOWN_RED = $(shell sed -n 's/^\(Test[A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt 2>/dev/null | paste -sd'|')

test:
	@if [ -s KNOWN-RED.txt ]; then echo "known failures; tests named first on a line are skipped:"; cat KNOWN-RED.txt; fi
	go test $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$') ./...

lint:
	@unformatted=$$(gofmt -l policy internal cmd example); \
	if [ -n "$$unformatted" ]; then echo "not gofmt'ed: $$unformatted"; exit 1; fi
	go vet ./...
	go run $(GOLANGCI_LINT) run ./...

fuzz:
	for p in fastcgi resp watch http1; do go test ./internal/$$p -run '^$$' -fuzz FuzzDecode -fuzztime 20s || exit 1; done
	go test ./internal/fault -run '^$$' -fuzz FuzzParse -fuzztime 20s

# The proxy with the example's configuration; start the toy servers first.
run: build
	BALANCER_CONFIG=example/config.json bin/edgeproxy

toy:
	go run ./example/toy serve

# Fleets of real processes under faults drawn by seed; what breaks a rule is kept in found/soak.
SEEDS ?= 20
SEED ?= 1
FLEET ?= 10
SECONDS ?= 12

soak:
	SEEDS=$(SEEDS) SEED=$(SEED) FLEET=$(FLEET) SECONDS=$(SECONDS) KINDS="$(KINDS)" SHRINK=$(SHRINK) \
		go test ./cmd/edgeproxy -run '^TestSoak$$' -count=1 -v -timeout 24h
