package agent

import (
	"context"
	"testing"
)

const shortPrompt = `{"prompt":"ferry over the bosporus","max_tokens":8}`

func modelObject(name string) []string {
	return []string{"version", "1", "bytes", "64MiB", "min_copies", "1"}
}

// Guards against a request path that does not work from an empty log to a complete answer.
func TestAgentLoadsAndServesPublishedModel(t *testing.T) {
	b := newEngineBed(t)
	b.publish("c1", published("model", "m", modelObject("m")...), published("workspace", "w"))
	b.start("i1")
	b.eventually("model served", func() bool { return b.serving("m") })
	got := b.exec(context.Background(), generation("q1", "m"), shortPrompt, nil)
	if got.end == nil || got.end.CompletionTokens != 8 || got.end.FinishReason == "" || got.text == "" {
		t.Fatalf("answer %+v", got)
	}
}
