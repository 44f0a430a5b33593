package entry

import "sync"

// replacedVersions holds, by runner and model, the version to ask for in place of the one of the ready copy. It is shared
// by all requests: each would otherwise be refused once for the old version, which costs a retry. It is safe for
// concurrent use.
type replacedVersions struct {
	mu  sync.Mutex
	ask map[runnerModel]string
}

type runnerModel struct {
	runner string
	model  string
}

func newReplacedVersions() *replacedVersions {
	return &replacedVersions{ask: map[runnerModel]string{}}
}

// asks reports whether the runner is to be asked for that version.
func (r *replacedVersions) asks(runner, model, version string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ask[runnerModel{runner: runner, model: model}] == version
}

// set makes further requests ask the runner for that version.
func (r *replacedVersions) set(runner, model, version string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ask[runnerModel{runner: runner, model: model}] = version
}

// clear makes further requests ask the runner for the version of its ready copy.
func (r *replacedVersions) clear(runner, model string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.ask, runnerModel{runner: runner, model: model})
}
