package logging

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// stalled is a destination that blocks until it is released.
type stalled struct {
	release chan struct{}
	bytes.Buffer
}

func (s *stalled) Write(line []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(line)
}

// A destination that blocks holds up nobody, what finds no room is counted, and the end does not wait for it.
func TestStalledDestination(t *testing.T) {
	to := &stalled{release: make(chan struct{})}
	w := NewWriter(to)
	const lines = 3 * queuedLines
	for range lines {
		if n, err := w.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatal(n, err)
		}
	}
	if dropped := w.Dropped(); dropped < lines-queuedLines-1 || dropped > lines-queuedLines {
		t.Errorf("%d dropped", dropped)
	}
	w.Close(time.Millisecond)
	close(to.release)
	<-w.done
	if text := to.String(); strings.Count(text, "line\n") < queuedLines || !strings.Contains(text, "log lines dropped") {
		t.Errorf("%d bytes written", len(text))
	}
}

func TestLongLineIsCut(t *testing.T) {
	var to bytes.Buffer
	w := NewWriter(&to)
	w.Write(bytes.Repeat([]byte("x"), 2*maxLine)) //nolint:errcheck // never fails
	w.Close(time.Minute)
	if to.Len() != maxLine || !strings.HasSuffix(to.String(), "x\n") {
		t.Errorf("%d bytes", to.Len())
	}
}

// A message that repeats is let through a few times, and says later how often it was not. Others are not held back.
func TestRepeatedMessagesAreBounded(t *testing.T) {
	now := time.Unix(1, 0)
	b := newBudgets(func() time.Time { return now })
	passed := 0
	for range 10 * burst {
		if allowed, _ := b.take("again"); allowed {
			passed++
		}
	}
	if passed != burst {
		t.Errorf("%d passed", passed)
	}
	if allowed, _ := b.take("another"); !allowed {
		t.Error("another message was held back")
	}
	now = now.Add(interval)
	if allowed, suppressed := b.take("again"); !allowed || suppressed != 9*burst {
		t.Errorf("%v, %d suppressed", allowed, suppressed)
	}
}
