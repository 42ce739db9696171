GO ?= go
LINT = $(GO) run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.14.0
# A later gopls needs a newer Go.
GOPLS = $(GO) run golang.org/x/tools/gopls@v0.23.0
SEED ?= 1
PROTOCOL ?= own
INSTANCES ?= 3
DURATION ?= 60s
PROFILE ?= demo
NETWORK ?= 1
FLAGS ?=

.PHONY: build demo test check lint format rename soak lines experiment bench generate fuzz

build: ## Build both binaries into bin/.
	$(GO) build -o bin/ ./cmd/...

test: format lint check ## Formatter, linter and tests.

format:
	@out=$$(gofmt -l .); if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi

lint:
	$(LINT) run ./...

check:
	$(GO) build ./...
	$(GO) test -json ./... | $(GO) run ./cmd/verdict

rename: ## Rename an identifier and all its uses: make rename AT=FILE:LINE:COLUMN TO=NAME
	$(GOPLS) rename -w $(AT) $(TO)

generate: ## Regenerate the composition code.
	$(GO) tool wire ./internal/entry

demo: build ## Start everything, drive callers, kill a primary, report.
	./scripts/demo.sh

soak: build ## Random faults: make soak PROTOCOL=platform SEED=7 DURATION=10m
	@case $(PROTOCOL) in \
	own) ./scripts/soak.sh $(SEED) $(DURATION) $(PROFILE) ;; \
	platform) ./scripts/lines.sh $(DURATION) $(INSTANCES) $(SEED) $(NETWORK) $(FLAGS) ;; \
	*) echo "PROTOCOL is $(PROTOCOL), must be own or platform" >&2; exit 2 ;; \
	esac

lines: build ## Instances on the stand-in of the users' platform: make lines DURATION=20s
	./scripts/lines.sh $(DURATION)

experiment: build ## Measure the policies against the naive versions.
	./bin/stand experiment --seed $(SEED)

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./...

fuzz:
	$(GO) test -run '^$$' -fuzz FuzzParse -fuzztime 30s ./pkg/token
	$(GO) test -run '^$$' -fuzz FuzzParse -fuzztime 30s ./pkg/envdoc
	$(GO) test -run '^$$' -fuzz FuzzDecode -fuzztime 30s ./internal/peer
	$(GO) test -run '^$$' -fuzz FuzzReader -fuzztime 30s ./internal/frame
	$(GO) test -run '^$$' -fuzz FuzzCaller -fuzztime 30s ./internal/front
	$(GO) test -run '^$$' -fuzz FuzzParts -fuzztime 30s ./internal/peer
	$(GO) test -run '^$$' -fuzz FuzzMake -fuzztime 30s ./internal/delta
	$(GO) test -run '^$$' -fuzz FuzzApply -fuzztime 30s ./internal/delta
	$(GO) test -run '^$$' -fuzz FuzzReceive -fuzztime 30s ./internal/fetch
	$(GO) test -run '^$$' -fuzz FuzzConfigDecoder -fuzztime 30s ./platform
	$(GO) test -run '^$$' -fuzz FuzzParseStatement -fuzztime 30s ./platform
	$(GO) test -run '^$$' -fuzz FuzzAnswer -fuzztime 30s ./platform
	$(GO) test -run '^$$' -fuzz FuzzPage -fuzztime 30s ./platform
	$(GO) test -run '^$$' -fuzz FuzzServerEntry -fuzztime 30s ./platform
