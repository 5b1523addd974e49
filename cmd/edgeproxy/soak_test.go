package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"cloverdoor/internal/soak"
)

// number reads a figure from the environment.
func number(t *testing.T, name string, otherwise int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return otherwise
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}

// A fleet of real processes keeps the rules under troubles that are drawn by seed. CI plays two short seeds; `make soak` plays
// many, and README tells how to play one again.
func TestSoak(t *testing.T) {
	first, seeds := number(t, "SEED", 1), number(t, "SEEDS", 2)
	fleet, seconds := number(t, "FLEET", 10), number(t, "SECONDS", 8)
	violations := 0
	for seed := first; seed < first+seeds; seed++ {
		result, err := soak.Run(uint64(seed), soak.Options{
			Program: os.Args[0], Environment: []string{"CLOVERDOOR_TEST_PROGRAM=1"}, ClockOffset: clockOffset, FailingCalls: randomFailures,
			Host: loopback, Fleet: fleet, Duration: time.Duration(seconds) * time.Second, ConfigDir: t.TempDir(),
			ReportDir: filepath.Join("..", "..", "found", "soak"), Kinds: strings.Fields(os.Getenv("KINDS")), Shrink: os.Getenv("SHRINK") != "",
		})
		if err != nil {
			t.Fatalf("seed %d could not be played: %v", seed, err)
		}
		t.Logf("seed %d: %d troubles, %d programs, %d requests, %d served, %d violations",
			seed, len(result.Schedule), result.Incarnations, result.Requests, result.Served, len(result.Violations))
		for _, v := range result.Violations {
			t.Errorf("seed %d: %v", seed, v)
		}
		violations += len(result.Violations)
	}
	fmt.Printf("%d seeds, %d violations\n", seeds, violations)
}
