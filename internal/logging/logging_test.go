package logging

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// blockedDestination blocks until it is released.
type blockedDestination struct {
	release chan struct{}
	bytes.Buffer
}

func (d *blockedDestination) Write(line []byte) (int, error) {
	<-d.release
	return d.Buffer.Write(line)
}

// A destination that blocks does not block Write, dropped lines are counted, and Close returns at its
// timeout.
func TestStalledDestination(t *testing.T) {
	to := &blockedDestination{release: make(chan struct{})}
	w := NewWriter(to)
	const lines = 3 * maxQueuedLines
	for range lines {
		if n, err := w.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatal(n, err)
		}
	}
	if dropped := w.Dropped(); dropped < lines-maxQueuedLines-1 || dropped > lines-maxQueuedLines {
		t.Errorf("%d dropped", dropped)
	}
	w.Close(time.Millisecond)
	close(to.release)
	<-w.done
	if text := to.String(); strings.Count(text, "line\n") < maxQueuedLines || !strings.Contains(text, "log lines dropped") {
		t.Errorf("%d bytes written", len(text))
	}
}

func TestLongLineIsTruncated(t *testing.T) {
	var to bytes.Buffer
	w := NewWriter(&to)
	line := bytes.Repeat([]byte("x"), 2*maxLineBytes)
	if n, err := w.Write(line); n != len(line) || err != nil {
		t.Fatal(n, err)
	}
	w.Close(time.Minute)
	if to.Len() != maxLineBytes || !strings.HasSuffix(to.String(), "x\n") {
		t.Errorf("%d bytes", to.Len())
	}
}

// A message that repeats is logged a few times, and the next one says how many were suppressed. Other
// messages are not affected.
func TestRepeatedMessagesAreBounded(t *testing.T) {
	now := time.Unix(1, 0)
	q := newQuotas(func() time.Time { return now })
	logged := 0
	for range 10 * maxRecordsPerInterval {
		if allowed, _ := q.take("again"); allowed {
			logged++
		}
	}
	if logged != maxRecordsPerInterval {
		t.Errorf("%d logged", logged)
	}
	if allowed, _ := q.take("another"); !allowed {
		t.Error("another message was suppressed")
	}
	now = now.Add(quotaInterval)
	if allowed, suppressed := q.take("again"); !allowed || suppressed != 9*maxRecordsPerInterval {
		t.Errorf("%v, %d suppressed", allowed, suppressed)
	}
}
