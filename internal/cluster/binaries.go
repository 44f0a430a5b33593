package cluster

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"trefoilferry.example/ferry/pkg/failure"
)

// Binaries locates the compiled programs of the project.
type Binaries struct {
	Dir string
}

// BuildBinaries compiles all programs of the module into dir. Further arguments are passed to go build.
func BuildBinaries(dir string, args ...string) (Binaries, error) {
	root, err := moduleRoot()
	if err != nil {
		return Binaries{}, err
	}
	command := append([]string{"build", "-o", dir + string(os.PathSeparator)}, args...)
	cmd := exec.Command("go", append(command, "./cmd/...")...)
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return Binaries{}, failure.Wrap(failure.Internal, failure.NotRun, "go build failed: "+string(out), err)
	}
	return Binaries{Dir: dir}, nil
}

// Path returns the path of a program.
func (b Binaries) Path(name string) string { return filepath.Join(b.Dir, name) }

func moduleRoot() (string, error) {
	out, err := exec.Command("go", "env", "GOMOD").Output()
	if err != nil {
		return "", failure.Wrap(failure.Internal, failure.NotRun, "root of the Go module not found", err)
	}
	return filepath.Dir(strings.TrimSpace(string(out))), nil
}
