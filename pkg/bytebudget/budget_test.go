package bytebudget

import (
	"strings"
	"sync"
	"testing"

	"trefoilferry.example/ferry/pkg/failure"
)

// repeatReader returns the same bytes without end.
type repeatReader struct{}

func (repeatReader) Read(p []byte) (int, error) { return len(p), nil }

const (
	testLimit = 46 << 20
	maxBody   = 16 << 20
)

// Load pattern: servers in trouble send bodies without end to many requests at once. Guards against bodies that fill
// the memory of the process together although each of them is bounded, and against shares that are not returned.
func TestEndlessBodiesShareABound(t *testing.T) {
	for _, bodies := range []int{1, 2, 24, 400} {
		budget := New(testLimit)
		var work sync.WaitGroup
		for range bodies {
			work.Go(func() {
				s := budget.Share()
				defer s.Release()
				_, err := s.ReadAll(repeatReader{}, maxBody)
				if !failure.HasCode(err, failure.BodyTooLarge) || failure.From(err).Outcome != failure.Ran {
					t.Errorf("error of a body without end: %v, want code %s and outcome %s", err, failure.BodyTooLarge, failure.Ran)
				}
				if s.taken > maxBody/4*5+step {
					t.Errorf("one body took %d bytes, want at most %d and a quarter for its growth", s.taken, maxBody)
				}
				if used := budget.Used(); used > testLimit {
					t.Errorf("taken at once: %d bytes, want at most %d", used, testLimit)
				}
			})
		}
		work.Wait()
		if used := budget.Used(); used != 0 {
			t.Errorf("taken after all bodies: %d bytes, want 0", used)
		}
		s := budget.Share()
		if body, err := s.ReadAll(strings.NewReader("whole"), maxBody); string(body) != "whole" || err != nil {
			t.Errorf("body after the others: %q, %v, want it whole", body, err)
		}
		s.Release()
	}
}

// Load pattern: many messages without end fill the budget and stay. Guards against a sound message that is refused beside
// them, and against one that a few long ones shut out.
func TestEndlessMessagesLeaveRoom(t *testing.T) {
	for _, endless := range []int{1, 3, 150, 2000} {
		budget := New(testLimit)
		for range endless {
			s := budget.Share()
			for size := int64(step); s.Hold(size) == nil; size += step {
				continue
			}
		}
		if used := budget.Used(); used > testLimit {
			t.Errorf("%d messages without end take %d bytes, want at most %d", endless, used, testLimit)
		}
		for _, c := range []struct {
			size int
			ok   bool
		}{{100, true}, {Allowance / 2, true}, {30 << 10, endless <= 150}, {100 << 10, endless <= 3}} {
			s := budget.Share()
			body, err := s.ReadAll(strings.NewReader(strings.Repeat("b", c.size)), maxBody)
			if (err == nil && len(body) == c.size) != c.ok {
				t.Errorf("sound body of %d bytes beside %d messages without end: %v, want it received: %v", c.size, endless, err, c.ok)
			}
			s.Release()
		}
	}
}

// Guards against a message that holds more than its parts, or that gives back what an earlier part still needs.
func TestPartsOfAMessage(t *testing.T) {
	budget := New(testLimit)
	s := budget.Share()
	for _, c := range []struct{ size, want int64 }{{Allowance, 0}, {Allowance + 1, step}, {Allowance + 3*step, 3 * step}, {10, 0}, {Allowance + step, step}} {
		if err := s.Hold(c.size); err != nil || budget.Used() != c.want {
			t.Errorf("part of %d bytes: %d taken, %v, want %d", c.size, budget.Used(), err, c.want)
		}
	}
	s.Keep()
	if err := s.Hold(step); err != nil || budget.Used() != 2*step {
		t.Errorf("second part: %d taken, %v, want %d", budget.Used(), err, 2*step)
	}
	s.Release()
	if budget.Used() != 0 {
		t.Errorf("%d taken after the release, want 0", budget.Used())
	}
}

// Guards against a sound body of the greatest length that cannot be received although the process holds nothing else.
func TestLongBodyAloneIsReceived(t *testing.T) {
	s := New(testLimit).Share()
	if body, err := s.ReadAll(strings.NewReader(strings.Repeat("b", maxBody)), maxBody); err != nil || len(body) != maxBody {
		t.Errorf("body of %d bytes: %d read, %v", maxBody, len(body), err)
	}
}

// Guards against a body that is cut off without an error where it reaches its limit.
func TestBodyOfExactlyTheLimit(t *testing.T) {
	for size, ok := range map[int]bool{1 << 10: true, 1<<10 - 1: true, 1<<10 + 1: false} {
		s := New(testLimit).Share()
		body, err := s.ReadAll(strings.NewReader(strings.Repeat("b", size)), 1<<10)
		if (err == nil && len(body) == size) != ok {
			t.Errorf("body of %d bytes: %d read, %v, want it received: %v", size, len(body), err, ok)
		}
	}
}
