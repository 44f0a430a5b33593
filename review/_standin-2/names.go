package main

import (
	"os"
	"strings"
)

// names maps keys to the names of the users' platform, which are read from a file.
type names map[string]string

func readNames(path string) (names, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	out := names{}
	for line := range strings.Lines(string(data)) {
		key, name, ok := strings.Cut(strings.TrimSpace(line), "=")
		if ok && !strings.HasPrefix(key, "#") {
			out[key] = name
		}
	}
	return out, nil
}
