// Package logging writes the program's structured log without blocking its callers. Lines are queued and
// written by a goroutine; while the queue is full, further lines are dropped and counted. Messages that repeat often
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
	maxLineBytes   = 4 << 10 // longest line, including its newline; longer ones are truncated
)

// Writer forwards lines to a destination that may block, such as a pipe whose reader has stopped reading.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{} // closed when the goroutine has ended
}

// NewWriter returns a writer to a destination. Errors of the destination are ignored, as there is nowhere to
// log them.
func NewWriter(dst io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run(dst)
	return w
}

// run writes the queued lines until Close. If lines have been dropped since the last warning, it writes a
// warning with their number after the current line. The warning may precede the place of the dropped lines,
// as up to maxQueuedLines lines that were queued before them still follow. Unlike the lines of New's logger,
// the warning has neither a time nor the instance.
func (w *Writer) run(dst io.Writer) {
	defer close(w.done)
	reported := int64(0) // number of dropped lines that the warnings so far include
	for line := range w.lines {
		dst.Write(line) //nolint:errcheck // there is nowhere to log it
		dropped := w.Dropped()
		if dropped > reported {
			//nolint:errcheck // there is nowhere to log it
			fmt.Fprintf(dst, "level=WARN msg=\"log lines dropped\" lines=%d\n", dropped-reported)
			reported = dropped
		}
	}
}

// Write queues a copy of one line, truncated to maxLineBytes. It never blocks and never fails; if the queue
// is full, it drops and counts the line.
func (w *Writer) Write(line []byte) (int, error) {
	queuedLine := make([]byte, min(len(line), maxLineBytes))
	copy(queuedLine, line)
	isTruncated := len(queuedLine) < len(line)
	if isTruncated {
		queuedLine[len(queuedLine)-1] = '\n'
	}
	select {
	case w.lines <- queuedLine:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines have been dropped since the start.
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
