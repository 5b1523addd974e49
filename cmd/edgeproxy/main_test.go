package main

import (
	"os"
	"testing"
	"time"
)

// The tests start this test binary as the real program.
func TestMain(m *testing.M) {
	if os.Getenv("CLOVERDOOR_TEST_PROGRAM") != "" {
		serveByTestClock()
		return
	}
	os.Exit(m.Run())
}

// testTimeout bounds every wait of a test; none of them depends on how long one really takes.
const testTimeout = 20 * time.Second

func receive[T any](t *testing.T, from <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-from:
	case <-time.After(testTimeout):
		t.Fatalf("no %s", what)
	}
	return v
}
