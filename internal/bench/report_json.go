package bench

import (
	"encoding/json"
	"os"

	"trefoilferry.example/ferry/pkg/failure"
)

// WriteJSON writes a value as an indented JSON file. It fails with code Internal.
func WriteJSON(path string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return failure.Wrap(failure.Internal, failure.Ran, "cannot encode report "+path, err)
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o600); err != nil {
		return failure.Wrap(failure.Internal, failure.Ran, "cannot write report "+path, err)
	}
	return nil
}
