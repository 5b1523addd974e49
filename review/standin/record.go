// Package standin holds the stand-ins that the cases of this review share: clients, pop caches, parents, the origin
// and the coordinator, as the operators' pages describe them, and the start of the proxy by the deploy file.
package standin

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	ExitHeld   = 0 // the rule held
	ExitBroken = 1 // the rule was broken
	ExitNotRun = 2 // the case could not run
)

// Record is the log of one run: what was sent, answered and run, with the time since the start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the record file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Logf adds a line.
func (r *Record) Logf(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f %-12s %s\n", time.Since(r.start).Seconds(), who, fmt.Sprintf(format, args...))
}

// Finish adds the result, prints it and returns the code.
func (r *Record) Finish(code int, format string, args ...any) int {
	result := map[int]string{ExitHeld: "HELD", ExitBroken: "BROKEN", ExitNotRun: "NOT RUN"}[code]
	text := fmt.Sprintf(format, args...)
	r.Logf("result", "%s: %s", result, text)
	fmt.Printf("%s: %s\n", result, text)
	return code
}

// WithTrouble reports whether the run has the disruption: TROUBLE=0 leaves it out.
func WithTrouble() bool { return os.Getenv("TROUBLE") != "0" }
