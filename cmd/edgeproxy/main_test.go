package main

import (
	"os"
	"testing"
	"time"
)

// TestMain runs the program instead of the tests in a process that a test has started as the program.
func TestMain(m *testing.M) {
	if os.Getenv(programEnv) != "" {
		serveWithTestClock()
		return
	}
	os.Exit(m.Run())
}

// testTimeout limits every wait in a test. No result depends on how long a wait takes.
const testTimeout = 20 * time.Second

// receive returns the next value of a channel, and fails the test if none comes within testTimeout.
func receive[T any](t *testing.T, ch <-chan T, description string) (v T) {
	t.Helper()
	select {
	case v = <-ch:
	case <-time.After(testTimeout):
		t.Fatalf("timed out waiting for: %s", description)
	}
	return v
}
