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

// envInt returns the number in an environment variable, or defaultValue if the variable is unset.
func envInt(t *testing.T, name string, defaultValue int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return defaultValue
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}

// TestSoak runs a fleet of real processes for each seed, under random faults drawn from the seed, and checks the
// history of each run against the rules of package soak. The environment sets the seeds, the number of processes and
// the duration of a run: CI makes a few short runs, `make soak` more.
func TestSoak(t *testing.T) {
	firstSeed := envInt(t, "SEED", 1)
	seedCount := envInt(t, "SEEDS", 4)
	fleetSize := envInt(t, "FLEET", 10)
	seconds := envInt(t, "SECONDS", 12)
	violations := 0
	for seed := firstSeed; seed < firstSeed+seedCount; seed++ {
		result, err := soak.Run(uint64(seed), soak.Options{
			Program: os.Args[0], ProgramEnv: []string{programEnv + "=1"},
			ClockOffsetEnv: clockOffsetEnv, SyscallFaultSeedEnv: randomFaultsEnv,
			LoopbackAddr: loopbackAddr, FleetSize: fleetSize, Duration: time.Duration(seconds) * time.Second, ConfigDir: t.TempDir(),
			ReportDir: filepath.Join("..", "..", "found", "soak"), FaultKinds: strings.Fields(os.Getenv("KINDS")),
			Shrink: os.Getenv("SHRINK") != "",
		})
		if err != nil {
			t.Fatalf("seed %d could not be run: %v", seed, err)
		}
		t.Logf("seed %d: %d faults, %d processes, %d requests, %d served, %d violations",
			seed, len(result.Schedule), result.Incarnations, result.Requests, result.Served, len(result.Violations))
		for _, v := range result.Violations {
			t.Errorf("seed %d: %v", seed, v)
		}
		violations += len(result.Violations)
	}
	fmt.Printf("%d seeds, %d violations\n", seedCount, violations)
}
