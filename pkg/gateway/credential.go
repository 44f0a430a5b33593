package gateway

import "trefoilferry.example/ferry/pkg/fleet"

// Credential is what a request shows to belong to a workspace.
type Credential struct {
	State CredentialState
	// Key is the digest of the key if State is CredentialKey.
	Key fleet.KeyDigest
}

// CredentialState tells whether a request has a key.
type CredentialState int

// States of credentials.
const (
	// CredentialNone means that the request has no key.
	CredentialNone CredentialState = iota
	// CredentialMalformed means that the header is no single key.
	CredentialMalformed
	// CredentialKey means that the request has exactly one key.
	CredentialKey
)
