package policy

import (
	"reflect"
	"testing"
	"time"
)

// The same settings, seed and events give the same actions.
func TestSameEventsGiveSameActions(t *testing.T) {
	run := func() (all [][]Action) {
		h := newHarness(t)
		for i := int64(1); i < 300; i++ {
			all = append(all, h.request(i, string(rune('a'+i%40)), int(i%3)))
			h.now += 3 * ms
			if i > 20 {
				all = append(all, h.handle(Outcome{ID: i - 20, Result: Result(i % 9), Elapsed: 60 * ms,
					RequestFinished: i%9 == 1}))
			}
		}
		return all
	}
	if a, b := run(), run(); !reflect.DeepEqual(a, b) {
		t.Fatal("the same settings, seed and events gave different actions")
	}
}

// New settings may give a class's number to another class. Requests keep the class they arrived with, learned
// transfer times stay with a class's name, and a lower MaxAttempts applies at once.
func TestNewSettings(t *testing.T) {
	settings := testSettings()
	for i, name := range []string{"old", "fresh", "write"} {
		settings.Classes[i].Name = name
	}
	h := newHarnessWith(t, settings)
	h.serve(1, "x", CacheStatusHit)
	learned := h.router.classTransferSeconds["old"].value
	writeFetch := fetchOf(h.request(2, "y", 2))

	newSettings := settings
	writeClass := Class{
		Name: "write", Idempotency: NonIdempotent, Uncacheable: true, PriorityWeight: 3,
		LatencyObjective: 500 * ms,
	}
	newSettings.Classes = []Class{writeClass, settings.Classes[0]}
	newSettings.MaxAttempts = 1
	h.handle(newSettings)
	if f := fetchOf(h.request(3, "z", 0)); f == nil || f.Target != "o" || f.Target != writeFetch.Target {
		t.Errorf("write by the new class number: got %+v, want the origin as the target", f)
	}
	inProgress := h.router.requests[2]
	keptLearned := h.router.classTransferSeconds["old"].value == learned && learned != 0
	if !keptLearned || inProgress.class.Name != "write" || inProgress.Class != 2 {
		t.Error("learned transfer times were lost, or a request has changed its class")
	}
	f := fetchOf(h.request(4, "x", 1))
	if f == nil || f.Target == "o" {
		t.Fatalf("read by the new class number: got %+v, want a cache as the target", f)
	}
	actions := h.handle(Outcome{ID: 4, Result: ResultRejected})
	if fetchOf(actions) != nil || countFinalAnswers(actions) != 1 {
		t.Errorf("got %+v after the only attempt, want one final answer", actions)
	}
	if actions := h.request(5, "x", 2); countFinalAnswers(actions) != 1 { // a class that was removed
		t.Errorf("got %+v for a removed class, want one final answer", actions)
	}
	// Request 2 is still of the removed class 2.
	h.handle(Outcome{ID: 2, Result: ResultOK, FullPaceTransferTime: time.Second, RequestFinished: true})
}
