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

test:
	go test -race -count=1 $(TESTFLAGS) $(MODULES:%=./%/...)

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
