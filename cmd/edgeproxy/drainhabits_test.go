package main

import (
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"
)

const (
	// drainLimit is the time after the call to drain at which no client's connection may be held idle, or with a request
	// from the last 2 s.
	drainLimit = 4 * time.Second
	// timeInUse is the time for which clients use their connections before a drain or a shutdown.
	timeInUse = 500 * time.Millisecond
)

// steadyHabits are those of clients that read at once and never stop asking.
func steadyHabits() []habit {
	habits := []habit{
		{name: "silent"},
		{name: "asked once", outstanding: 1, afterAnswer: -1},
		{name: "next request 1 ms after each answer", outstanding: 1, afterAnswer: time.Millisecond},
		{name: "next request 10 ms after each answer", outstanding: 1, afterAnswer: 10 * time.Millisecond},
		{name: "next request 25 ms after each answer", outstanding: 1, afterAnswer: 25 * time.Millisecond},
		{name: "three requests at a time", outstanding: 3},
		{name: "the first byte of a request", outstanding: 1, afterAnswer: -1, partBytes: 1},
		{name: "a request that trickles", outstanding: 1, afterAnswer: -1, partBytes: 1000},
		{name: "a call that hangs", outstanding: 1, afterAnswer: -1, firstClass: "registro"},
		{name: "a call that hangs, and others", interval: 20 * time.Millisecond, firstClass: "registro"},
	}
	for _, interval := range []int{1, 2, 5, 10, 20, 30, 40, 45, 60, 100} {
		pause := time.Duration(interval) * time.Millisecond
		habits = append(habits, habit{name: "a request every " + pause.String(), interval: pause})
	}
	return habits
}

// slowHabits are those of clients that read slowly.
func slowHabits() []habit {
	return []habit{
		{name: "1 MB/s, asks at once", readRate: 1_000_000, firstObject: firstLargeObject, outstanding: 1},
		{name: "0.3 MB/s, asks at once", readRate: 300_000, firstObject: firstLargeObject, outstanding: 1},
		{name: "1 MB/s, 4 answers, asks for 0.8 s", readRate: 1_000_000, firstObject: firstLargeObject, outstanding: 4, stopsAsking: 800 * time.Millisecond},
		{name: "1 MB/s, 12 answers, asks for 1.6 s", readRate: 1_000_000, firstObject: firstLargeObject, outstanding: 12, stopsAsking: 1600 * time.Millisecond},
		{name: "1 MB/s, 12 answers, asks at once", readRate: 1_000_000, firstObject: firstLargeObject, outstanding: 12},
		{name: "0.3 MB/s, 16 answers of 10 KB, asks at once", readRate: 300_000, firstObject: firstMediumObject, outstanding: 16},
		{name: "1 MB/s, 16 answers of 10 KB, asks at once", readRate: 1_000_000, firstObject: firstMediumObject, outstanding: 16},
	}
}

// startHabits starts a client for each habit and lets them use their connections for timeInUse.
func (env *testEnv) startHabits(habits []habit) (clients []*habitClient) {
	env.t.Helper()
	env.cache.answerByObject()
	for _, h := range habits {
		clients = append(clients, env.startHabit(h))
	}
	time.Sleep(timeInUse)
	return clients
}

// checkEnds waits until limit for the ends of the clients' connections, and checks that none of them lost a request.
func checkEnds(t *testing.T, clients []*habitClient, orderedAt, limit time.Time) {
	t.Helper()
	timeout := time.After(time.Until(limit))
	for _, c := range clients {
		select {
		case <-c.done:
			t.Logf("%s: ended after %v", c.name, c.endedAt.Sub(orderedAt).Round(time.Millisecond))
			if lost := c.lostRequests(); len(lost) > 0 {
				t.Errorf("%s: lost %d requests, among them %s", c.name, len(lost), lost[0])
			}
		case <-timeout:
			timeout = time.After(0)
			t.Errorf("%s: the connection is held %v after the order", c.name, time.Since(orderedAt).Round(time.Millisecond))
		}
	}
}

// TestDrainEndsEveryConnection guards against connections that a drain held for as long as their clients kept sending, or
// until a slow reader's last answer was acknowledged and up to 1 s longer (report 06224d).
func TestDrainEndsEveryConnection(t *testing.T) {
	for name, habits := range map[string][]habit{"steady": steadyHabits(), "slow": slowHabits()} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := startTestEnv(t)
			clients := env.startHabits(habits)
			orderedAt := time.Now()
			for _, c := range clients {
				c.orderedAt <- orderedAt
			}
			if status, _ := env.adminCall("PUT", "/ops/drain/start"); status != 200 {
				t.Fatalf("drain/start answered %d", status)
			}
			checkEnds(t, clients, orderedAt, orderedAt.Add(drainLimit))
		})
	}
}

// killDelay is the time after the longest deadline of the settings at which the platform may kill a process that was
// sent SIGTERM.
const killDelay = 700 * time.Millisecond

// stopBeforeTheKill stops the program and checks that it exits before the platform may kill it. It returns the time of the
// signal.
func (env *testEnv) stopBeforeTheKill() (signalledAt time.Time) {
	env.t.Helper()
	signalledAt = time.Now()
	env.signal(syscall.SIGTERM)
	select {
	case err := <-env.exited:
		env.t.Logf("exited after %v: %v", time.Since(signalledAt), err)
	case <-time.After(env.classDeadline + killDelay):
		env.t.Errorf("the process had to be killed")
		env.signal(syscall.SIGKILL)
	}
	return signalledAt
}

// TestExitBeforeTheKillWhileClientsSend guards against a shutdown that clients delayed for as long as they kept sending,
// so that the kill found requests unanswered (report 06224d).
func TestExitBeforeTheKillWhileClientsSend(t *testing.T) {
	for _, deadline := range []time.Duration{50 * time.Millisecond, 300 * time.Millisecond, 800 * time.Millisecond, 3 * time.Second} {
		t.Run(deadline.String(), func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			env.classDeadline = deadline
			env.startWith(env.cache.Addr(), env.origin.Addr())
			clients := env.startHabits(steadyHabits())
			signalledAt := env.stopBeforeTheKill()
			checkEnds(t, clients, signalledAt, time.Now().Add(time.Second))
		})
	}
}

// pausingReaders are clients that read slowly and ask again some time after each answer.
func pausingReaders() (habits []habit) {
	for _, readRate := range []int{900_000, 950_000, 1_000_000} {
		for _, pause := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond} {
			for _, outstanding := range []int{1, 2, 4, 8, 16, 32} {
				habits = append(habits, habit{
					name:     fmt.Sprintf("%d bytes/s, %d requests, each %v after an answer", readRate, outstanding, pause),
					readRate: readRate, firstObject: firstHalfObject, outstanding: outstanding, afterAnswer: pause,
				})
			}
		}
	}
	return habits
}

// canRead reports whether a client reads the answers that it asks for at a time within the deadline of its requests.
func (h habit) canRead(answerBytes int, deadline time.Duration) bool {
	readingTime := float64(h.outstanding*answerBytes) / float64(h.readRate)
	return readingTime <= deadline.Seconds()
}

// TestExitBeforeTheKillWithPausingReaders guards against a process that slow readers keep from its exit until it is
// killed: each of their answers takes them 0.1 s, and they ask again 0.2 or 0.6 s after it. None of them loses a request,
// but for those that ask for more than they can read in time.
func TestExitBeforeTheKillWithPausingReaders(t *testing.T) {
	for _, deadline := range []time.Duration{300 * time.Millisecond, 800 * time.Millisecond, 3 * time.Second} {
		t.Run(deadline.String(), func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			env.classDeadline = deadline
			env.startWith(env.cache.Addr(), env.origin.Addr())
			clients := env.startHabits(pausingReaders())
			signalledAt := env.stopBeforeTheKill()
			ableClients := slices.DeleteFunc(clients, func(c *habitClient) bool { return !c.canRead(halfObjectBytes, deadline) })
			checkEnds(t, ableClients, signalledAt, time.Now().Add(time.Second))
		})
	}
}
