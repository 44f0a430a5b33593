package gateway

import (
	"strings"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/fleet"
)

// Guards against a key that is passed on to a server, because the first configuration with workspaces came into force between
// the match of the route and the check of the key.
func TestKeyIsWithheldByTheConfigurationThatAcceptedIt(t *testing.T) {
	control, _ := proofControl(&strings.Builder{})
	j := modelJob("id", "", 10, 10)
	j.arrived, j.keyed = time.Now(), false
	j.meta.Credential = Credential{State: CredentialKey, Key: fleet.DigestKey("one")}
	if fail := (&Forwarder{control: control}).authorize(t.Context(), j); fail != nil {
		t.Fatal(fail)
	}
	if j.workspaceName() != "a" || !j.keyed {
		t.Errorf("workspace %q, key withheld %v, want a and true", j.workspaceName(), j.keyed)
	}
}
