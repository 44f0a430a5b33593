package stream

import (
	"testing"
	"time"
)

// Guards against periods without a usable checkpoint, and against one checkpoint per process and renewal period. 40
// processes run over 10 retention periods and see each other's records after one second.
func TestCheckpointersKeepOneUsableCheckpointAndFewMore(t *testing.T) {
	const retention = time.Hour
	now := testNow()
	var all []*Checkpointer
	for seed := range 40 {
		all = append(all, NewCheckpointer(retention, uint64(seed)))
	}
	records := []CheckpointInfo{}
	offset := uint64(1)
	for range 10 * 3600 {
		now = now.Add(time.Second)
		visible := CheckpointInfo{}
		if n := len(records); n > 0 {
			visible = records[n-1]
			if age := now.Sub(visible.WrittenAt); age > retention/2 {
				t.Fatalf("newest checkpoint is %v old, want at most %v", age, retention/2)
			}
		}
		for _, c := range all {
			if c.Due(CheckpointInput{Now: now, Offset: offset, Newest: visible, CaughtUp: true}) {
				offset++
				records = append(records, CheckpointInfo{Offset: offset, Covers: offset - 1, WrittenAt: now})
			}
		}
	}
	// One checkpoint per renewal period gives 30. A few more are written by processes that have not yet seen the new
	// one.
	if len(records) > 60 {
		t.Fatalf("%d checkpoints in 10 retention periods, want at most 60", len(records))
	}
}

// Guards against a checkpoint from a process that has not read the whole stream, and against a long delay when the
// last writer's clock is ahead.
func TestCheckpointerDue(t *testing.T) {
	now := testNow()
	day := 24 * time.Hour
	tests := []struct {
		name string
		in   CheckpointInput
		want bool
	}{
		{"not caught up", CheckpointInput{Offset: 5}, false},
		{"empty stream", CheckpointInput{CaughtUp: true}, false},
		{"none seen", CheckpointInput{CaughtUp: true, Offset: 5}, true},
		{"recent", CheckpointInput{CaughtUp: true, Offset: 5, Newest: CheckpointInfo{Offset: 4, Covers: 3, WrittenAt: now}}, false},
		{"no longer usable", CheckpointInput{CaughtUp: true, Offset: 9, OldestRetained: 8, Newest: CheckpointInfo{Offset: 8, Covers: 5, WrittenAt: now}}, true},
		{"clock ahead", CheckpointInput{CaughtUp: true, Offset: 5, Newest: CheckpointInfo{Offset: 4, Covers: 3, WrittenAt: now.Add(9 * day)}}, false},
	}
	for _, tt := range tests {
		c := NewCheckpointer(day, 1)
		tt.in.Now = now
		c.Due(tt.in)
		tt.in.Now = now.Add(day / delayDivisor)
		if got := c.Due(tt.in); got != tt.want {
			t.Errorf("%s: due %v, want %v", tt.name, got, tt.want)
		}
		tt.in.Now = now.Add(day / 2)
		if got := c.Due(tt.in); got != tt.in.CaughtUp && tt.in.Offset > 0 {
			t.Errorf("%s: due %v after half the retention, want %v", tt.name, got, !got)
		}
	}
}
