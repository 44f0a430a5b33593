package keyring

import "trefoilferry.example/ferry/pkg/fleet"

// Ring is the index of the keys of one configuration. It is immutable.
type Ring struct {
	// byKey is looked up by digest, so that the time of a look-up depends on no part of a key that a caller could vary.
	byKey map[fleet.KeyDigest]*fleet.Workspace
}

// New returns the index of a configuration; nil if callers need no key in it.
func New(config *fleet.Config) *Ring {
	if len(config.Workspaces) == 0 {
		return nil
	}
	r := &Ring{byKey: map[fleet.KeyDigest]*fleet.Workspace{}}
	for i := range config.Workspaces {
		w := &config.Workspaces[i]
		for _, key := range w.Keys {
			r.byKey[key] = w
		}
	}
	return r
}

// Workspace returns the workspace that holds the key; nil for none.
func (r *Ring) Workspace(key fleet.KeyDigest) *fleet.Workspace { return r.byKey[key] }
