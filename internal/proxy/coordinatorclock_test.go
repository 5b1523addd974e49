package proxy

import (
	"log/slog"
	"testing"
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/watch"
	"cloverdoor/policy"
)

// told returns a proxy whose wall clock is wrong by so much, and a function that has a purge of so long ago told to it and
// returns how old it counts as.
func told(t *testing.T, wrongBy time.Duration) (*Proxy, func(ago time.Duration, live bool) time.Duration) {
	t.Helper()
	right := eventloop.Timestamp(time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC).UnixNano())
	loop, err := eventloop.NewLoop(&handClock{now: right + wrongBy})
	if err != nil {
		t.Fatal(err)
	}
	p := &Proxy{loop: loop, log: slog.New(slog.DiscardHandler)}
	p.audit = newAudit(p, nil)
	return p, func(ago time.Duration, live bool) time.Duration {
		if p.coordinator = nil; live {
			p.coordinator = &coordinatorWatch{}
		}
		p.inbox = nil
		p.applyEvent(watch.Event{Purge: &watch.Purge{Object: "x", At: (right - ago).Milliseconds()}})
		return p.inbox[len(p.inbox)-1].(policy.Purge).Age
	}
}

// However wrong the clock is, a purge never counts as older than it is, and about as old once one has been told in time.
func TestPurgeAgeByAWrongClock(t *testing.T) {
	for _, wrongBy := range []time.Duration{0, time.Hour, -time.Hour, 3 * time.Second, -3 * time.Second} {
		_, age := told(t, wrongBy)
		for _, ago := range []time.Duration{400 * time.Millisecond, 100 * time.Millisecond, 2 * time.Second, 0} {
			got := age(ago, true)
			if got > ago {
				t.Errorf("%v wrong: %v ago counts as %v", wrongBy, ago, got)
			}
			if ago == 2*time.Second && got < ago-maxReportDelay {
				t.Errorf("%v wrong: %v ago counts as only %v", wrongBy, ago, got)
			}
		}
	}
}

// One wrong time from the coordinator is forgotten.
func TestWrongTimeIsForgotten(t *testing.T) {
	p, age := told(t, 0)
	clock := &handClock{now: p.loop.Now()}
	var err error
	if p.loop, err = eventloop.NewLoop(clock); err != nil {
		t.Fatal(err)
	}
	age(-time.Hour, true)
	if p.clock.offset == 0 {
		t.Error("the wrong time was not heard at all")
	}
	clock.now += maxSampleAge + time.Second
	if err := p.loop.Wait(0); err != nil {
		t.Fatal(err)
	}
	age(-maxSampleAge-time.Second, true) // what is right by now
	if p.clock.offset != 0 {
		t.Errorf("off by %v", p.clock.offset)
	}
}

// Before anything has been told live, purges of the configuration are certain only against the latest of them.
func TestKnownPurgesByAWrongClock(t *testing.T) {
	p, _ := told(t, time.Hour)
	at := func(ago time.Duration) watch.Event {
		return watch.Event{Purge: &watch.Purge{Object: "x", At: (p.loop.Now() - time.Hour - ago).Milliseconds()}}
	}
	p.applyInitialState([]watch.Event{at(5 * time.Second), at(2 * time.Second)})
	for i, want := range []time.Duration{3 * time.Second, 0} {
		if age := p.inbox[i].(policy.Purge).Age; age > want || age < want-time.Second {
			t.Errorf("the %d. counts as %v old, want %v", i+1, age, want)
		}
	}
}

// After a pause many purges come at once, the oldest first: late news says nothing of the clock, and no purge counts as older
// than it is once the last of them has come.
func TestPurgesThatCatchUp(t *testing.T) {
	p, age := told(t, 0)
	clock := &handClock{now: p.loop.Now()}
	loop, err := eventloop.NewLoop(clock)
	if err != nil {
		t.Fatal(err)
	}
	p.loop = loop
	age(0, true) // in time
	router := policy.New(policy.Settings{ParentKind: -1, OriginKind: 1, Classes: []policy.Class{{Idempotency: policy.Idempotent, LatencyObjective: time.Second}},
		PurgeCompletedWithin: 6 * time.Second, PurgeGrace: 300 * time.Millisecond}, 1)
	router.Handle(loop.Now(), policy.EndpointUpdate{Full: true, Endpoints: []policy.Endpoint{
		{ID: "c", State: policy.Ready, Weight: 10}, {ID: "o", State: policy.Ready, Kind: 1}}})
	clock.now += 3 * time.Second // nothing was heard meanwhile
	if err := loop.Wait(0); err != nil {
		t.Fatal(err)
	}
	const last = 950 * time.Millisecond
	for ago := 3 * time.Second; ago >= 0; ago -= 50 * time.Millisecond {
		object := "another"
		if ago == last {
			object = "x"
		}
		p.inbox = nil
		p.applyEvent(watch.Event{Purge: &watch.Purge{Object: object, At: (loop.Now() - ago).Milliseconds()}})
		for _, ev := range p.inbox {
			router.Handle(loop.Now(), ev)
		}
	}
	for _, a := range router.Handle(loop.Now(), policy.Request{ID: 1, Object: "x", Remaining: time.Second}) {
		if f, ok := a.(policy.Fetch); ok && (f.MaxAge <= 0 || f.MaxAge > last) {
			t.Errorf("copies of %v are asked for, the purge was %v ago", f.MaxAge, last)
		}
	}
}
