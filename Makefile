.PHONY: build test drawn quickstart simulate prove generate soak soak-series soak-short

build:
	go build -o bin/ ./cmd/...

# Packages with tests that draw their cases.
DRAWN = $(shell go list -f '{{range .TestImports}}{{$$.ImportPath}} {{.}}{{"\n"}}{{end}}{{range .XTestImports}}{{$$.ImportPath}} {{.}}{{"\n"}}{{end}}' ./... | \
	sed -n 's,^\(.*\) pgregory.net/rapid$$,\1,p' | sort -u)
OTHERS = $(filter-out $(DRAWN),$(shell go list ./...))

# Drawn cases are the same in each run, so that the verdict is; "make drawn" takes new ones.
# SKIP names tests that are passed over, separated by |; CI sets it to those of KNOWN-RED.txt.
test:
	go test -timeout 20m $(if $(SKIP),-skip '^($(SKIP))$$') $(DRAWN) -rapid.seed=1 -rapid.checks=1000
	go test -timeout 20m $(if $(SKIP),-skip '^($(SKIP))$$') $(OTHERS)

drawn:
	go test -count=1 -timeout 20m $(DRAWN) -rapid.checks=10000

quickstart:
	go run ./cmd/stiletrail-rehearsal quickstart

simulate:
	go test -count=1 -timeout 60m -run TestRandomSchedules ./internal/simulation

prove:
	go test -count=1 -timeout 60m -parallel 4 -tags prove -v -run TestGuards ./internal/mutation

generate:
	go generate ./api

soak:
	go test -count=1 -timeout 60m -tags soak -v -run TestSoak ./platform/soak

# Signals, restarts and changes in series that overlap.
soak-series:
	go test -count=1 -timeout 60m -tags soak -v -run TestSeries ./platform/soak

# A round each of four seeds, two minutes and a half: connections that fall silent, one with which the checker once was wrong, a request that crashes back ends, and
# a store that is restored from a backup. Then half a minute of series.
soak-short:
	SOAK_SEED=26,146,1,3002 SOAK_ROUNDS=1 go test -count=1 -timeout 10m -tags soak -run 'TestSoak|TestRuns|TestLateness|TestListenAgainTwice' ./platform/soak
	SOAK_SEED=1 go test -count=1 -timeout 10m -tags soak -run TestSeries ./platform/soak
