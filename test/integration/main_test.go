// Package integration runs the real programs as processes behind fault proxies and checks the guarantees of the system.
package integration

import (
	"fmt"
	"os"
	"testing"

	"trefoilferry.example/ferry/internal/cluster"
)

var binaries cluster.Binaries

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "ferry-integration-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binaries, err = cluster.BuildBinaries(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}
