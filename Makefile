.PHONY: build measure

build:
	CGO_ENABLED=1 go build -o bin/currantstall ./cmd/currantstall

# Starts 108 processes on loopback for up to 5 minutes and prints one line a figure.
measure: build
	go run ./internal/measure -binary bin/currantstall
