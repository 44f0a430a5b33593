GOLANGCI_VERSION := v2.15.0
BIN := bin
GOBIN_DIR := $(shell go env GOPATH)/bin

.PHONY: build test lint fmt demo up generate tools soak

build:
	go build -o $(BIN)/ ./cmd/...

test:
	.ci/test

lint: tools
	test -z "$$(gofmt -l $$(git ls-files '*.go'))"
	go vet ./...
	$(GOBIN_DIR)/golangci-lint run ./...

fmt:
	gofmt -w $$(git ls-files '*.go')

tools:
	test -x $(GOBIN_DIR)/golangci-lint || go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

demo: build
	$(BIN)/ferry-demo run

up: build
	$(BIN)/ferry-demo up

generate:
	api/ferrypb/generate.sh
