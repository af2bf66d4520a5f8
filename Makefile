MODULES := commons sesamewell entry side standin platform lobby keeper

# REVIEW_MODULES are the stand-ins of the reviews, modules of their own outside the workspace.
REVIEW_MODULES := review/standin review/standin-2 review/standin-3 review/rig
# REVIEW_CASES are the cases that "make review" plays, one after another.
REVIEW_CASES := 1 2 3 4 5 6 7 8 9 10 11 12 13

.PHONY: build run test lint review lint-review bench settings clean

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
# PACKAGE_TIMEOUT ends a package whose tests hang. Simulations under the race detector take minutes.
PACKAGE_TIMEOUT := 20m
APART := UntrustedClients|Endless

test:
	@failed=0; \
	go test -race -count=1 -timeout $(PACKAGE_TIMEOUT) $(TESTFLAGS) -skip '$(APART)$(if $(SKIP),|$(SKIP))' $(MODULES:%=./%/...) || failed=1; \
	go test -count=1 $(TESTFLAGS) -run '$(APART)' $(if $(SKIP),-skip '$(SKIP)') ./standin/e2e || failed=1; \
	exit $$failed

lint:
	@test -z "$$(gofmt -l $(MODULES))" || { gofmt -l $(MODULES); exit 1; }
	go vet $(MODULES:%=./%/...)
	go tool staticcheck -checks all $(MODULES:%=./%/...)

lint-review:
	@for module in $(REVIEW_MODULES); do \
		(cd $$module && GOWORK=off GOFLAGS=-buildvcs=false go build -o /dev/null . && GOWORK=off go vet ./...) || exit 1; \
	done

# The programs are built by the build line of the deploy file, which the cases start.
review:
	@sh -c "$$(sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/system.toml)"
	@review/build.sh
	@review/build-2.sh
	@review/build-3.sh
	@failed=0; \
	for case in $(REVIEW_CASES); do \
		if review/$$case/run.sh >target/review-$$case.log 2>&1; then result=held; else result=BROKEN; failed=1; fi; \
		echo "review/$$case $$result: $$(tail -n 1 target/review-$$case.log)"; \
	done; \
	exit $$failed

bench:
	go test -run '^$$' -bench . $(MODULES:%=./%/...)

settings: build
	bin/sesamewell settings > docs/SETTINGS.md

clean:
	rm -rf bin
