package main

import (
	"os"
	"testing"
	"time"
)

// TestMain serves as the program if a test has started this binary as one.
func TestMain(m *testing.M) {
	if os.Getenv(programEnv) != "" {
		serveWithTestClock()
		return
	}
	os.Exit(m.Run())
}

// testTimeout limits every wait of a test. No test depends on how long a wait takes.
const testTimeout = 20 * time.Second

// receive returns the next value of a channel, and fails the test without one.
func receive[T any](t *testing.T, from <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-from:
	case <-time.After(testTimeout):
		t.Fatalf("no %s", what)
	}
	return v
}
