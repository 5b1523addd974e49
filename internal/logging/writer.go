// Package logging writes the program's log without ever holding up its caller: lines are queued, written by a goroutine of
// their own and dropped when the queue is full, and a message that repeats is let through a few times only.
package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	queuedLines = 512     // that wait for a slow reader
	maxLine     = 4 << 10 // bytes of one line; the rest is cut
)

// Writer passes lines on to a destination that may block, such as a pipe whose reader stalls.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewWriter returns a writer to a destination. Its errors are ignored: nobody is left to tell.
func NewWriter(to io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, queuedLines), done: make(chan struct{})}
	go w.run(to)
	return w
}

func (w *Writer) run(to io.Writer) {
	defer close(w.done)
	told := int64(0)
	for line := range w.lines {
		to.Write(line) //nolint:errcheck // nobody is left to tell
		if dropped := w.Dropped(); dropped > told {
			fmt.Fprintf(to, "level=WARN msg=\"log lines dropped\" lines=%d\n", dropped-told) //nolint:errcheck // as above
			told = dropped
		}
	}
}

// Write queues one line. It never blocks and never fails; a line that finds the queue full is dropped and counted.
func (w *Writer) Write(line []byte) (int, error) {
	kept := make([]byte, 0, min(len(line), maxLine))
	kept = append(kept, line[:cap(kept)]...)
	if len(kept) < len(line) {
		kept[len(kept)-1] = '\n'
	}
	select {
	case w.lines <- kept:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is how many lines found the queue full since the start.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close waits for what is queued to be written, for so long at most. No line may be written afterwards.
func (w *Writer) Close(patience time.Duration) {
	close(w.lines)
	select {
	case <-w.done:
	case <-time.After(patience):
	}
}
