.PHONY: build measure slopes

build:
	CGO_ENABLED=1 go build -o bin/currantstall ./cmd/currantstall

# Starts 108 processes on loopback for up to 5 minutes and prints one line a figure.
measure: build
	go run ./internal/measure -binary bin/currantstall

# Measures what an entry costs by its numbers of peers, targets and requests, and
# the slopes of the parts, in about 4 minutes. docs/CAPACITY.md is worked out from it.
slopes: build
	go run ./internal/measure -binary bin/currantstall -slopes
	go test -run '^$$' -bench 'Claim|KeptKey|NewView|Acquire|SelectOfThousands|Owners|Start|Refuse|CancelWave|Step|Load|ApplyOne|PushOneChange|TableWrites|RoundTrip|IdleLink' -benchtime 200ms ./internal/ledger ./internal/claims ./internal/placement ./internal/admission ./internal/statechart ./internal/manifest ./internal/journal ./internal/peer
