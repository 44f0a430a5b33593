// Command standin-2 runs the scripted cases of the second review against processes of the project.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// setting is what a case runs with.
type setting struct {
	names names
	root  string
	dir   string
	rec   *recorder
	// trouble is false for the same run without the disruption.
	trouble bool
	// resets makes runners whose answers have no length reset their connections when they crash.
	resets bool
}

var cases = map[string]func(*setting) (int, error){
	"deadly-part":     runDeadlyPart,
	"crash-unframed":  runCrashUnframed,
	"deadly-unframed": runDeadlyUnframed,
	"silent-at-stop":  runSilentAtStop,
	"silent-runner":   runSilentRunner,
}

func main() {
	runtime.LockOSThread()
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the repository")
	namesPath := flag.String("names", "", "file with the names of the platform")
	record := flag.String("record", "record.txt", "file to write")
	logs := flag.String("logs", "", "directory that keeps the logs of the processes; empty for a temporary one")
	flag.Parse()
	os.Exit(run(*name, *root, *namesPath, *record, *logs))
}

func run(name, root, namesPath, record, logs string) int {
	code, err := runCase(name, root, namesPath, record, logs)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	return code
}

func runCase(name, root, namesPath, record, logs string) (int, error) {
	f, ok := cases[name]
	if !ok {
		return notRun, fmt.Errorf("there is no case %q", name)
	}
	n, err := readNames(namesPath)
	if err != nil {
		return notRun, err
	}
	if root, err = filepath.Abs(root); err != nil {
		return notRun, err
	}
	rec, err := newRecorder(record)
	if err != nil {
		return notRun, err
	}
	dir := logs
	if dir == "" {
		if dir, err = os.MkdirTemp("", "review-"); err != nil {
			return notRun, err
		}
		defer os.RemoveAll(dir)
	}
	return f(&setting{names: n, root: root, dir: dir, rec: rec, trouble: os.Getenv("TROUBLE") != "0",
		resets: os.Getenv("RESETS") == "1"})
}
