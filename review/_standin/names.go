package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
)

// names holds the platform's names by the keys of names.txt.
type names map[string]string

// readNames reads lines of the form KEY=NAME.
func readNames(path string) (names, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	out := names{}
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if key, value, ok := strings.Cut(lines.Text(), "="); ok && !strings.HasPrefix(key, "#") {
			out[key] = value
		}
	}
	return out, lines.Err()
}

// get returns the name with the given key; a missing one is an error of this program.
func (n names) get(key string) string {
	value, ok := n[key]
	if !ok {
		panic(fmt.Sprintf("names.txt has no %q", key))
	}
	return value
}
