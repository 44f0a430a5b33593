// Command standin plays one case of the review: it starts stand-ins for the store, the runners and the clients, and the
// project's gateways as separate processes, and checks what clients and runners have seen.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"
)

// world is what a case works with.
type world struct {
	names  names
	record *record
	runs   *runs
	store  *store
	temp   string
	root   string
	// trouble is set unless the case is played without its disruption.
	trouble  bool
	gateways []*gateway
}

// cases holds the cases by name. Each returns whether the rule held.
var cases = map[string]func(w *world) (held bool, err error){
	"encoded-stream": encodedStream,
	"second-refusal": secondRefusal,
	"old-config":     oldConfig,
}

// limit ends a case that hangs.
const limit = 110 * time.Second

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		os.Exit(2)
	}
	// The gateways end with the thread that started them.
	runtime.LockOSThread()
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no case "+os.Args[1])
		os.Exit(2)
	}
	time.AfterFunc(limit, func() {
		fmt.Fprintln(os.Stderr, "the case took too long")
		os.Exit(2)
	})
	held, err := playCase(play, os.Args[2], os.Args[3])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case !held:
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}

func playCase(play func(w *world) (bool, error), root, recordPath string) (bool, error) {
	n, err := readNames(filepath.Join(root, "review", "_standin", "names.txt"))
	if err != nil {
		return false, err
	}
	rec, err := newRecord(recordPath)
	if err != nil {
		return false, err
	}
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return false, err
	}
	s, err := startStore(n)
	if err != nil {
		return false, err
	}
	w := &world{names: n, record: rec, runs: &runs{}, store: s, temp: temp, root: root, trouble: os.Getenv("TROUBLE") != "0"}
	defer func() {
		for _, g := range w.gateways {
			g.kill()
		}
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(temp)
		} else {
			fmt.Println(temp)
		}
	}()
	held, err := play(w)
	if err == nil {
		rec.line("verdict  held=%v trouble=%v", held, w.trouble)
	}
	return held, err
}

// addRunner starts a runner.
func (w *world) addRunner(id, service string, models ...string) (*runner, error) {
	r := &runner{names: w.names, record: w.record, runs: w.runs, store: w.store, id: id, service: service, models: models}
	if err := startRunner(r, ""); err != nil {
		return nil, err
	}
	w.record.line("runner %s of %s at %s", id, service, r.address)
	return r, nil
}

// addGateway starts a gateway and waits until it is ready.
func (w *world) addGateway(name string) (*gateway, error) {
	g, err := newGateway(w.names, name, w.store, w.temp)
	if err != nil {
		return nil, err
	}
	w.gateways = append(w.gateways, g)
	if err := g.start(w.root); err != nil {
		return nil, err
	}
	if err := g.awaitReady(); err != nil {
		return nil, err
	}
	w.record.line("gateway %s at %s is ready", name, g.callers)
	return g, nil
}

// send sends a request of a client and records it with its answer.
func (w *world) send(g *gateway, c call) reply {
	w.record.line("request  %s %s %s to %s", c.id, c.method, c.path, g.name)
	r := send(w.names, g.callers, c)
	w.record.line("answer   %s status %d signature %q complete %v error %v after %v, %d bytes", r.id, r.status,
		r.header.Get(w.names.get("signature")), r.complete, r.err, r.took.Round(time.Millisecond), len(r.body))
	return r
}
