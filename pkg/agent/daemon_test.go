package agent

import (
	"context"
	"testing"
)

const shortPrompt = `{"prompt":"ferry over the bosporus","max_tokens":8}`

func modelValues(name string) []string {
	return []string{"version", "1", "bytes", "64MiB", "min_copies", "1"}
}

// Guards against failures anywhere between an empty log and a complete response.
func TestAgentLoadsAndServesPublishedModel(t *testing.T) {
	b := newEngineTestbed(t)
	b.publish("c1", published("model", "m", modelValues("m")...), published("workspace", "w"))
	b.start("i1")
	b.eventually("model served", func() bool { return b.serving("m") })
	got := b.exec(context.Background(), generation("q1", "m"), shortPrompt, nil)
	if got.end == nil || got.end.CompletionTokens != 8 || got.end.FinishReason == "" || got.text == "" {
		t.Fatalf("response %+v, want 8 completion tokens, text and a finish reason", got)
	}
}
