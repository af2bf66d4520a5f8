MODULES := commons sesamewell entry side standin platform lobby keeper

.PHONY: build run test lint bench settings clean

build:
	@mkdir -p bin
	@go build -o bin/sesamewell ./sesamewell
	@go build -o bin/sesamewell-entry ./entry
	@go build -o bin/sesamewell-side ./side
	@go build -o bin/sesamewell-standin ./standin
	@go build -o bin/sesamewell-lobby ./lobby
	@go build -o bin/sesamewell-keeper ./keeper

run:
	@scripts/run

# APART are the tests that measure memory: they run one after the other, after all others.
# SKIP is the pattern of the tests that are skipped.
APART := UntrustedClients|Endless

test:
	@failed=0; \
	go test -race -count=1 $(TESTFLAGS) -skip '$(APART)$(if $(SKIP),|$(SKIP))' $(MODULES:%=./%/...) || failed=1; \
	go test -count=1 $(TESTFLAGS) -run '$(APART)' $(if $(SKIP),-skip '$(SKIP)') ./standin/e2e || failed=1; \
	exit $$failed

lint:
	@test -z "$$(gofmt -l $(MODULES))" || { gofmt -l $(MODULES); exit 1; }
	go vet $(MODULES:%=./%/...)
	go tool staticcheck -checks all $(MODULES:%=./%/...)

bench:
	go test -run '^$$' -bench . $(MODULES:%=./%/...)

settings: build
	bin/sesamewell settings > docs/SETTINGS.md

clean:
	rm -rf bin
