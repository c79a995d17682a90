# Builds, tests and measures.

GO        ?= go
BIN       := bin/sycamorevane
TOOLBIN   := $(shell $(GO) env GOPATH)/bin
STATIC    := honnef.co/go/tools/cmd/staticcheck@v0.8.2
GOFUMPT   := mvdan.cc/gofumpt@v0.12.0
GOIMPORTS := golang.org/x/tools/cmd/goimports@v0.52.0
GOPLS     := golang.org/x/tools/gopls@v0.23.0
PROTOGEN  := google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12
LOCAL     := sycamorevane.example/sycamorevane
LONGEST   := ^TestOpenManyEntriesUnderOverload$$
SOURCES    = $(shell find . -name '*.go' -not -name '*.pb.go' -not -path './.git/*')

.PHONY: all build test race lint format bench slopes soak demo proto tools clean

all: build lint test

build:
	$(GO) build -o bin/ ./cmd/...

# The time limits in faultinjector are those promised to users on otherwise idle machines, so its tests run last.
test:
	$(GO) test -timeout 300s $$($(GO) list ./... | grep -v /faultinjector$$)
	$(GO) test -timeout 300s ./faultinjector

# The longest test has a run of its own, since the time limit holds for each package of a run.
race:
	$(GO) test -race -short -timeout 400s -skip '$(LONGEST)' ./...
	$(GO) test -race -short -timeout 400s -run '$(LONGEST)' ./simulator

tools:
	@test -x $(TOOLBIN)/staticcheck || $(GO) install $(STATIC)
	@test -x $(TOOLBIN)/gofumpt || $(GO) install $(GOFUMPT)
	@test -x $(TOOLBIN)/goimports || $(GO) install $(GOIMPORTS)
	@test -x $(TOOLBIN)/gopls || $(GO) install $(GOPLS)

lint: tools
	@out=$$($(TOOLBIN)/gofumpt -l $(SOURCES)); test -z "$$out" || { echo "not formatted by gofumpt:"; echo "$$out"; exit 1; }
	@out=$$($(TOOLBIN)/goimports -local $(LOCAL) -l $(SOURCES)); test -z "$$out" || { echo "imports not ordered:"; echo "$$out"; exit 1; }
	$(GO) vet ./...
	$(TOOLBIN)/staticcheck ./...

format: tools
	$(TOOLBIN)/goimports -local $(LOCAL) -w $(SOURCES)
	$(TOOLBIN)/gofumpt -w $(SOURCES)

# Each measurement with a target prints its value for docs/RESULTS.md and fails if it misses the target.
BENCHES = bench-simulator bench-open bench-promoter bench-forwarder bench-deduplicator bench-replicator bench-applier bench-system

bench: build
	@rm -f $(BENCHLOG); status=0; \
	for target in $(BENCHES); do $(MAKE) --no-print-directory $$target >> $(BENCHLOG) 2>&1 || { status=1; echo "$$target FAILED"; }; done; \
	./bin/sycamorevane-results -out docs/RESULTS.md < $(BENCHLOG); exit $$status

BENCHLOG := bin/bench.log

.PHONY: $(BENCHES)

bench-simulator:
	GOMAXPROCS=3 PLOTS=$(CURDIR)/docs/plots $(GO) test -run '^$$' -bench . -benchtime 1x -timeout 175s ./simulator

bench-open:
	BENCH=1 $(GO) test -timeout 120s -count 1 -v -run TestOpenTargets ./simulator

bench-promoter:
	PROMOTER_SEEDS=100 $(GO) test -timeout 600s -count 1 -run "TestTable|TestExposure" -bench 'Observe|Summary' -benchtime 200ms -v ./promoter

bench-forwarder:
	$(GO) test -timeout 120s -run '^$$' -bench 'Call' -benchtime 3000x ./forwarder
	$(GO) test -timeout 120s -run '^$$' -bench 'Overhead|Hedge' -benchtime 1x ./forwarder

bench-deduplicator:
	$(GO) test -timeout 120s -run '^$$' -bench . -benchtime 2000x ./deduplicator

bench-replicator:
	$(GO) test -timeout 120s -run '^$$' -bench . -benchtime 1x ./replicator ./persister

bench-applier:
	$(GO) test -timeout 120s -run '^$$' -bench . -benchtime 1x ./applier ./renderer

bench-system:
	BENCH=1 PLOTS=$(CURDIR)/docs/plots $(GO) test -timeout 120s -count 1 -v -run TestBench ./assembler

demo: build
	$(BIN) demo -for 30s

# Runs many random schedules of the consensus cores, all pairs of faults, and control groups and entries of real processes. Set SOAK_SEED or FAULTS_SEED to repeat a run.
SOAK_SEEDS ?= 300

soak:
	SOAK_SEEDS=$(SOAK_SEEDS) $(GO) test -timeout 1200s -run 'Schedules$$' -v ./replicator
	FAULTS_PAIRS=all $(GO) test -timeout 1800s -count 1 -run 'TestPairs$$' -v ./faultinjector
	CONTROL_SOAK_SEEDS=50 CONTROL_SOAK_SECONDS=30 ENTRY_SOAK_SEEDS=50 ENTRY_SOAK_SECONDS=20 $(GO) test -timeout 1800s -count 1 -parallel 6 -run 'Test(Control|Entry)Soak$$' ./platform

# Needs protoc (Debian package protobuf-compiler).
proto:
	@test -x $(TOOLBIN)/protoc-gen-go || $(GO) install $(PROTOGEN)
	PATH="$(TOOLBIN):$$PATH" protoc --go_out=. --go_opt=module=$(LOCAL) encoder/*.proto

clean:
	rm -rf bin

slopes: build
	./bin/sycamorevane-slopes -out docs/slopes.json | tee docs/slopes.txt
