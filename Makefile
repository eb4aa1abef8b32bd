# Targets for developers; README.md names the two a newcomer needs.
GO ?= go
PROTO := $(wildcard proto/sycamorekeel/v1/*.proto)

.PHONY: all build demo bench capacity test race processes soak rolling generate lint spec spec-mutants

all: build

build:
	$(GO) build -o bin/ ./cmd/...

# Both users' deployments over the project's own interface, then the platform path
# over separate processes, without faults.
demo: build
	./bin/sycamorekeel demo
	./bin/sycamorekeel-soak ./bin/sycamorekeel-edge --faulty 0s --calm 15s

# Measures the policy against the baseline, in a few minutes; exit status 1 only
# for a broken property.
bench: build
	./bin/sycamorekeel bench --pairs --write bench-results

# Measures the slopes of docs/CAPACITY.md.
capacity: build
	./bin/sycamorekeel capacity
	$(GO) test -run '^$$' -bench Nodes -benchtime 1x ./internal/membership
	$(GO) test -run '^$$' -bench Spread -benchtime 1x ./internal/config

# SKIP names tests to pass over, as -skip takes them; .ci/run fills it from KNOWN-RED.txt.
SKIP ?=
SKIPPED = $(if $(SKIP),-skip '$(SKIP)')
# The tests of misbehaving clients measure processes, so they run after all others, by themselves.
ABUSE = ./platform/abuse
test:
	$(GO) test $(SKIPPED) $$($(GO) list ./... | grep -v '/platform/abuse$$')
	$(GO) test -count 1 $(SKIPPED) $(ABUSE)

# The drivers, where goroutines share state, under the race detector.
race:
	$(GO) test -race $(SKIPPED) $(addprefix ./internal/,callerapi daemon explain frontend gossip health operatorapi owner peer peerauth platform query readiness router upstream)
	$(GO) test -race $(SKIPPED) ./internal/bodylimit ./internal/connpool ./internal/edge ./internal/httpserver ./internal/logring ./internal/node ./platform
	$(GO) test -race $(SKIPPED) ./internal/fleet -ginkgo.focus='whole path|stop'

# Kills, freezes and stops daemons that run as separate processes.
processes: build
	scripts/processes.sh

# Runs the daemons of the platform path as processes under random faults.
SEED ?= 1
soak: build
	bin/sycamorekeel-soak bin/sycamorekeel-edge --seed $(SEED) --seeds 10

# Restarts all VMs of a small deployment in turn, twice, while callers go on.
rolling: build
	bin/sycamorekeel-soak bin/sycamorekeel-edge --rolling 2 --vms 9 --callers 16 --seed $(SEED)

# Regenerates internal/pb. Needs protoc and the two generators below; the build
# does not, as the generated code is committed.
generate:
	GOBIN=$(CURDIR)/bin $(GO) install google.golang.org/protobuf/cmd/protoc-gen-go
	GOBIN=$(CURDIR)/bin $(GO) install storj.io/drpc/cmd/protoc-gen-go-drpc
	PATH="$(CURDIR)/bin:$$PATH" protoc -I proto \
		--go_out=. --go_opt=module=sycamorekeel.example/sycamorekeel \
		--go-drpc_out=. --go-drpc_opt=module=sycamorekeel.example/sycamorekeel \
		$(PROTO)

lint:
	test -z "$$(gofmt -l cmd internal)"
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# Checks the models in spec/ exhaustively; installs the checker when it is missing.
spec:
	command -v spin >/dev/null || { apt-get update -qq && apt-get install -y -qq spin; }
	./spec/check.sh

# Takes each protective rule out of a model in turn: the checker must notice.
spec-mutants:
	command -v spin >/dev/null || { apt-get update -qq && apt-get install -y -qq spin; }
	./spec/check.sh mutants
