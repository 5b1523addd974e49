// Package logging writes the program's structured log without blocking its callers. Lines are queued and
// written by a goroutine; lines that find the queue full are dropped and counted. Messages that repeat often
// are suppressed and counted.
package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	maxQueuedLines = 512     // lines waiting for the destination
	maxLineBytes   = 4 << 10 // longer lines are truncated
)

// Writer forwards lines to a destination that may block, such as a pipe whose reader has stopped reading.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{} // closed when the goroutine has ended
}

// NewWriter returns a writer to a destination. Errors of the destination are ignored, as there is nowhere to
// log them.
func NewWriter(to io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run(to)
	return w
}

// run writes queued lines until Close, and after each, if lines have been dropped since the last warning, a
// warning with their number. The warning may come before the gap: the lines that were queued when it arose,
// up to maxQueuedLines, still follow. It has neither a time nor the instance, unlike the lines of New's
// logger.
func (w *Writer) run(to io.Writer) {
	defer close(w.done)
	reported := int64(0)
	for line := range w.lines {
		to.Write(line) //nolint:errcheck // there is nowhere to log it
		dropped := w.Dropped()
		if dropped > reported {
			//nolint:errcheck // there is nowhere to log it
			fmt.Fprintf(to, "level=WARN msg=\"log lines dropped\" lines=%d\n", dropped-reported)
			reported = dropped
		}
	}
}

// Write queues a copy of one line. It never blocks and never fails; it drops and counts the line if the queue
// is full.
func (w *Writer) Write(line []byte) (int, error) {
	queued := make([]byte, min(len(line), maxLineBytes))
	copy(queued, line)
	isTruncated := len(queued) < len(line)
	if isTruncated {
		queued[len(queued)-1] = '\n'
	}
	select {
	case w.lines <- queued:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is how many lines have been dropped since the start.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close waits until the queued lines have been written, for timeout at most. Write must not be called
// afterwards.
func (w *Writer) Close(timeout time.Duration) {
	close(w.lines)
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}
