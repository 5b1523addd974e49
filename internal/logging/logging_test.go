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

// A destination that blocks does not block Write. Dropped lines are counted, and Close returns at its
// timeout.
func TestStalledDestination(t *testing.T) {
	dst := &blockedDestination{release: make(chan struct{})}
	w := NewWriter(dst)
	const lines = 3 * maxQueuedLines
	for range lines {
		if n, err := w.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatal(n, err)
		}
	}
	if dropped := w.Dropped(); dropped < lines-maxQueuedLines-1 || dropped > lines-maxQueuedLines {
		t.Errorf("%d lines dropped, want all but maxQueuedLines, or one fewer", dropped)
	}
	w.Close(time.Millisecond)
	close(dst.release)
	<-w.done
	if text := dst.String(); strings.Count(text, "line\n") < maxQueuedLines || !strings.Contains(text, "log lines dropped") {
		t.Errorf("queued lines or the warning are missing from %d bytes", len(text))
	}
}

func TestLongLineIsTruncated(t *testing.T) {
	var dst bytes.Buffer
	w := NewWriter(&dst)
	line := bytes.Repeat([]byte("x"), 2*maxLineBytes)
	if n, err := w.Write(line); n != len(line) || err != nil {
		t.Fatal(n, err)
	}
	w.Close(time.Minute)
	if dst.Len() != maxLineBytes || !strings.HasSuffix(dst.String(), "x\n") {
		t.Errorf("%d bytes written, or the end of the line is not as expected", dst.Len())
	}
}

// A message that repeats is logged a few times in each interval, and the first record of the next interval
// says how many were suppressed. Other messages are not affected.
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
		t.Errorf("%d records logged, want maxRecordsPerInterval", logged)
	}
	if allowed, _ := q.take("another"); !allowed {
		t.Error("a message with another text was suppressed")
	}
	now = now.Add(quotaInterval)
	if allowed, suppressed := q.take("again"); !allowed || suppressed != 9*maxRecordsPerInterval {
		t.Errorf("logged in the next interval: %v, with %d suppressed", allowed, suppressed)
	}
}
