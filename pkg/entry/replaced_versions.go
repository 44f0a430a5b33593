package entry

import "sync"

// replacedVersions holds, by runner and model, the version that the runner served in place of the one of its ready copy.
// Without it, each request would first be refused for the old version, which costs a retry. It is safe for concurrent
// use.
type replacedVersions struct {
	mu     sync.Mutex
	served map[runnerModel]string
}

type runnerModel struct {
	runner string
	model  string
}

func newReplacedVersions() *replacedVersions {
	return &replacedVersions{served: map[runnerModel]string{}}
}

// serves reports whether the runner served that version of the model.
func (r *replacedVersions) serves(runner, model, version string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.served[runnerModel{runner: runner, model: model}] == version
}

// recordServed records that the runner serves that version of the model.
func (r *replacedVersions) recordServed(runner, model, version string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.served[runnerModel{runner: runner, model: model}] = version
}

// recordRefused records that the runner does not serve that version of the model.
func (r *replacedVersions) recordRefused(runner, model, version string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := runnerModel{runner: runner, model: model}
	if r.served[key] == version {
		delete(r.served, key)
	}
}
