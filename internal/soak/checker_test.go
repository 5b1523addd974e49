package soak

import (
	"strings"
	"testing"
	"time"
)

// validHistory returns a history without violations: one process, one read and one write.
func validHistory() *History {
	h := NewHistory(Limits{
		MemoryKB: 1000, Descriptors: 100, DrainGrace: 500 * time.Millisecond, PurgeGrace: 300 * time.Millisecond,
		OverloadMultiple: 2, OverloadWindow: time.Second, SlowStartCapacity: 0.1, SlowStartDuration: 4 * time.Second,
		LinkTransfers: 3, TransferTime: 50 * time.Millisecond, MaxDeadline: 3 * time.Second,
	})
	h.Incarnations = []*Incarnation{{
		Proxy: 1, Number: 1, StartedAt: 1, ReadyAt: time.Second, SigtermAt: 30 * time.Second, ExitedAt: 31 * time.Second,
	}}
	h.Requests = []*Request{
		{ID: "read", Class: classRead, Object: "x", Group: 3, Proxy: 1, Incarnation: 1, SentAt: 10 * time.Second, Timeout: time.Second,
			Answers: []FinalAnswer{{At: 10100 * time.Millisecond, Status: "200", Body: "1 x"}}},
		{ID: "write", Class: classWrite, Proxy: 1, Incarnation: 1, SentAt: 12 * time.Second, Timeout: time.Second,
			Answers: []FinalAnswer{{At: 12100 * time.Millisecond, Status: "200"}}},
	}
	h.Calls = []*Call{
		{Serial: 1, Server: "cache", ID: "read", FillSource: "parent",
			FirstByteAt: 10010 * time.Millisecond, CompleteAt: 10010 * time.Millisecond, Timeout: 900 * time.Millisecond, CopyMadeAt: h.start},
		{Serial: 2, Server: "origin", ID: "write", Executed: true,
			FirstByteAt: 12010 * time.Millisecond, CompleteAt: 12010 * time.Millisecond, Timeout: 900 * time.Millisecond},
	}
	return h
}

// TestHistoryChecker breaks rules in an otherwise valid history, and checks that only the broken rules are reported. It
// also checks that allowed deviations are not reported.
func TestHistoryChecker(t *testing.T) {
	deliverEvent := func(e WatchEvent) func(*History) {
		return func(h *History) {
			e.Index = 2
			e.PublishedAt = 8 * time.Second
			e.DeliveredAt = map[processID]time.Duration{{1, 1}: 9 * time.Second}
			h.Events = append(h.Events, &e)
		}
	}
	for _, c := range []struct {
		name   string
		change func(*History)
		want   string // violated rules, separated by commas; "": none
	}{
		{"no violation", func(*History) {}, ""},
		{"two answers", func(h *History) { h.Requests[0].Answers = append(h.Requests[0].Answers, FinalAnswer{Status: "503"}) }, "second answer"},
		{"no answer", func(h *History) { h.Requests[0].Answers = nil }, "lost"},
		{"drain known to the new process alone, in a takeover", func(h *History) {
			drainInTakeover(h, map[processID]time.Duration{{1, 2}: 9 * time.Second})
		}, ""},
		{"drain known to the old process alone, in a takeover", func(h *History) {
			drainInTakeover(h, map[processID]time.Duration{{1, 1}: 9 * time.Second})
		}, ""},
		{"drain known to both processes of a takeover", func(h *History) {
			drainInTakeover(h, map[processID]time.Duration{{1, 1}: 8500 * time.Millisecond, {1, 2}: 9 * time.Second})
		}, "drain"},
		{"drain known to the new process, the old one has exited", func(h *History) {
			drainInTakeover(h, map[processID]time.Duration{{1, 2}: 9 * time.Second})
			h.Incarnations[0].SigtermAt = 9 * time.Second
			h.Incarnations[0].ExitedAt = 9500 * time.Millisecond
		}, "drain"},
		{"no answer from a killed process", func(h *History) {
			h.Requests[0].Answers = nil
			h.Incarnations[0].KilledAt = 10 * time.Second
		}, ""},
		{"no answer before the kill that follows SIGTERM", func(h *History) {
			h.Requests[0].Answers = nil
			h.Requests[0].DisconnectedAt = 10900 * time.Millisecond
			h.Incarnations[0].SigtermAt = 9 * time.Second
			h.Incarnations[0].KilledAt = 10900 * time.Millisecond
			h.Incarnations[0].ExitedAt = 10900 * time.Millisecond
		}, "lost,late end"},
		{"no answer to an aborted request", func(h *History) {
			h.Requests[0].Answers = nil
			h.Requests[0].CancelledAt = 10 * time.Second
		}, ""},
		{"connection closed without an answer", func(h *History) {
			h.Requests[0].Answers = nil
			h.Requests[0].DisconnectedAt = 11 * time.Second
		}, "lost"},
		{"late answer", func(h *History) { h.Requests[0].Answers[0].At = 12 * time.Second }, "late answer"},
		{"late answer to a client that reads slowly", func(h *History) {
			h.Requests[0].Answers[0].At = 12 * time.Second
			h.Requests[0].ReadingTime = time.Second
		}, ""},
		{"late answer from a process that was paused", func(h *History) {
			h.Requests[0].Answers[0].At = 12 * time.Second
			h.Incarnations[0].Paused = []Span{{10 * time.Second, 11 * time.Second}}
		}, ""},
		{"executed twice", func(h *History) {
			repeatedCall := *h.Calls[1]
			repeatedCall.Serial = 3
			h.Calls = append(h.Calls, &repeatedCall)
		}, "ran twice"},
		{"rejected after its execution", func(h *History) { h.Requests[1].Answers[0].Status = "503" }, "refused after run"},
		{"served without an execution", func(h *History) { h.Calls[1].Executed = false }, "served unrun"},
		{"repeated within the deduplication window", repeatedKeyedCall(300 * time.Millisecond), ""},
		{"repeated after the deduplication window", repeatedKeyedCall(700 * time.Millisecond), "repeat after window"},
		{"call without a request", func(h *History) { h.Calls[0].ID = "other" }, "unknown call"},
		{"call begins after the client has disconnected", func(h *History) {
			h.Requests[0].CancelledAt = 9 * time.Second
		}, "begun after left"},
		{"call begins within the grace period after the disconnect", func(h *History) {
			h.Requests[0].CancelledAt = 9950 * time.Millisecond
		}, ""},
		{"deadline later than the client's", func(h *History) { h.Calls[0].Timeout = 1400 * time.Millisecond }, "deadline"},
		{"call to a draining server", deliverEvent(WatchEvent{PurgedGroup: -1, Withdrawn: []string{"cache"}}), "drain"},
		{"call to a draining server, event not delivered", undeliveredDrain(), "drain"},
		{"call to a draining server, events withheld", undeliveredDrain(
			Span{3 * time.Second, 6 * time.Second}, Span{5 * time.Second, 10 * time.Second}), ""},
		{"call names a removed fill source", deliverEvent(WatchEvent{PurgedGroup: -1, Withdrawn: []string{"parent"}}), "drain"},
		{"server serves and drains again within the uncertainty of the call's time",
			repeatedDrain(10*time.Second, 12*time.Millisecond), ""},
		{"server serves and drains again later than the uncertainty of the call's time",
			repeatedDrain(10*time.Second, 60*time.Millisecond), "drain"},
		{"another server drains", deliverEvent(WatchEvent{PurgedGroup: -1, Withdrawn: []string{"other"}}), ""},
		{"copy older than a purge of its object", func(h *History) {
			deliverEvent(WatchEvent{PurgedObject: "x", PurgedGroup: -1, PurgedBefore: h.start.Add(time.Second)})(h)
		}, "purged copy"},
		{"copy older than a purge of its group", func(h *History) {
			deliverEvent(WatchEvent{PurgedObject: "-", PurgedGroup: 3, PurgedBefore: h.start.Add(time.Second)})(h)
		}, "purged copy"},
		{"copy younger than a purge", func(h *History) {
			deliverEvent(WatchEvent{PurgedObject: "x", PurgedGroup: -1, PurgedBefore: h.start.Add(-time.Second)})(h)
		}, ""},
		{"ready too late", func(h *History) { h.Incarnations[0].ReadyAt = 20 * time.Second }, "not ready"},
		{"exits without SIGTERM", func(h *History) {
			h.Incarnations[0].SigtermAt = 0
			h.Incarnations[0].ExitedAt = 20 * time.Second
		}, "crash"},
		{"exits with an error", func(h *History) { h.Incarnations[0].ExitError = "exit status 2" }, "bad end"},
		{"has to be killed", func(h *History) { h.Incarnations[0].KilledAt = 35 * time.Second }, "late end"},
		{"uses too much memory", func(h *History) { h.Incarnations[0].PeakMemoryKB = 1001 }, "memory"},
		{"uses too many descriptors", func(h *History) { h.Incarnations[0].PeakDescriptors = 101 }, "descriptors"},
		{"drained in time", drained(func(_ *Drain, conn *Conn) { conn.EndedAt = 17 * time.Second }), ""},
		{"idle connection held in a drain", drained(func(_ *Drain, conn *Conn) { conn.EndedAt = 20 * time.Second }), "held"},
		{"idle connection held to the end", drained(func(*Drain, *Conn) {}), "held"},
		{"held with a request of the last 2 s", drained(func(_ *Drain, conn *Conn) {
			conn.Requests = []*Request{{ID: "late", SentAt: 17500 * time.Millisecond, CancelledAt: 17600 * time.Millisecond}}
		}), "held"},
		{"held with an old open request", drained(func(_ *Drain, conn *Conn) {
			conn.Requests = []*Request{{ID: "old", SentAt: 14 * time.Second, CancelledAt: 25 * time.Second}}
		}), ""},
		{"opened by a crowd just before the limit", drained(func(_ *Drain, conn *Conn) { conn.OpenedAt = 17900 * time.Millisecond }), ""},
		{"drain that ends before the limit", drained(func(drain *Drain, _ *Conn) {
			drain.EndOrderedAt = 16 * time.Second
			drain.ReadyAgainAt = 16100 * time.Millisecond
		}), ""},
		{"held while the process was paused", drained(func(_ *Drain, conn *Conn) { conn.EndedAt = 19 * time.Second },
			Span{15 * time.Second, 17 * time.Second}), ""},
		{"ready in a drain", drained(func(drain *Drain, conn *Conn) {
			drain.ReadyAt = 15 * time.Second
			conn.EndedAt = 17 * time.Second
		}), "ready in a drain"},
		{"not ready after a drain", drained(func(drain *Drain, conn *Conn) {
			drain.ReadyAgainAt = 23 * time.Second
			conn.EndedAt = 17 * time.Second
		}), "not ready after a drain"},
		{"more calls than the slow start allows", func(h *History) { slowStartBurst(h, 50) }, "cold start"},
		{"as many calls as the slow start allows", func(h *History) { slowStartBurst(h, 43) }, ""},
	} {
		h := validHistory()
		c.change(h)
		var rules []string
		for _, v := range Check(h) {
			rules = append(rules, v.Rule)
		}
		if c.want == "" && len(rules) > 0 || c.want != "" && strings.Join(rules, ",") != c.want {
			t.Errorf("%s: violated rules %q, want %q", c.name, rules, c.want)
		}
	}
}

// undeliveredDrain adds an event that drains the cache, published 8 s before the cache gets a call and never
// delivered. In the given spans the coordinator sends nothing.
func undeliveredDrain(withheld ...Span) func(*History) {
	return func(h *History) {
		h.Events = append(h.Events, &WatchEvent{Index: 2, PublishedAt: 2 * time.Second, PurgedGroup: -1, Withdrawn: []string{"cache"}})
		h.Withheld[1] = withheld
	}
}

// repeatedDrain adds events that drain the cache 2 s before servingAt, announce it as serving at servingAt, and drain
// it again 1 ms later. The first byte of the call to the cache was observed leadTime before servingAt.
func repeatedDrain(servingAt, leadTime time.Duration) func(*History) {
	event := func(index int, at time.Duration) *WatchEvent {
		return &WatchEvent{Index: index, PublishedAt: at, DeliveredAt: map[processID]time.Duration{{1, 1}: at}, PurgedGroup: noGroup}
	}
	return func(h *History) {
		firstDrain := event(2, servingAt-2*time.Second)
		servingEvent := event(3, servingAt)
		secondDrain := event(4, servingAt+time.Millisecond)
		firstDrain.Withdrawn = []string{"cache"}
		servingEvent.Serving = []string{"cache"}
		secondDrain.Withdrawn = []string{"cache"}
		h.Events = append(h.Events, firstDrain, servingEvent, secondDrain)
		h.Requests[0].SentAt = servingAt - 100*time.Millisecond
		h.Calls[0].FirstByteAt = servingAt - leadTime
		h.Calls[0].CompleteAt = servingAt - leadTime
	}
}

// drained adds a drain of the process from 14 s to 20 s, and a connection to it that was opened at 5 s and has not ended.
// change then changes both. The process was paused in the given spans, and has not been told to end.
func drained(change func(*Drain, *Conn), paused ...Span) func(*History) {
	return func(h *History) {
		drain := &Drain{Proxy: 1, Incarnation: 1, OrderedAt: 14 * time.Second, EndOrderedAt: 20 * time.Second,
			ReadyAgainAt: 20100 * time.Millisecond}
		conn := &Conn{Proxy: 1, Incarnation: 1, OpenedAt: 5 * time.Second}
		change(drain, conn)
		h.Drains = append(h.Drains, drain)
		h.Conns = append(h.Conns, conn)
		h.Incarnations[0].Paused = paused
		h.Incarnations[0].SigtermAt = 0
		h.Incarnations[0].ExitedAt = 0
	}
}

// drainInTakeover adds a second process of the proxy, which has just started and serves the read, and a drain of the
// cache that was delivered as given.
func drainInTakeover(h *History, deliveredAt map[processID]time.Duration) {
	second := *h.Incarnations[0]
	second.Number = 2
	second.StartedAt = 7900 * time.Millisecond
	second.ReadyAt = 8 * time.Second
	h.Incarnations = append(h.Incarnations, &second)
	h.Requests[0].Incarnation = 2
	h.Events = append(h.Events, &WatchEvent{Index: 2, PublishedAt: 8400 * time.Millisecond, DeliveredAt: deliveredAt,
		PurgedGroup: noGroup, Withdrawn: []string{"cache"}})
}

// repeatedKeyedCall gives the read an idempotency key, and repeats its call after a time. The deduplication window is
// 400 ms.
func repeatedKeyedCall(delay time.Duration) func(*History) {
	return func(h *History) {
		h.Limits.DeduplicationWindow = 400 * time.Millisecond
		h.Requests[0].Class = classKeyed
		repeatedCall := *h.Calls[0]
		repeatedCall.Serial = 3
		repeatedCall.FirstByteAt += delay
		repeatedCall.Timeout = 0
		h.Calls = append(h.Calls, &repeatedCall)
	}
}

// slowStartBurst adds calls that all arrive at one moment at a server in slow start, 0.3 s after the proxy was
// notified of the start. The limits allow 25.5 calls at that moment, without the margin.
func slowStartBurst(h *History, count int) {
	h.Starts = []ServerStart{{Server: "starting", At: 13 * time.Second, EventIndex: 5}}
	h.Events = append(h.Events, &WatchEvent{Index: 5, PublishedAt: 13 * time.Second, PurgedGroup: -1, Serving: []string{"starting"},
		DeliveredAt: map[processID]time.Duration{{1, 1}: 13200 * time.Millisecond}})
	for i := range count {
		id := string(rune('a'+i%26)) + string(rune('a'+i/26))
		at := 13500 * time.Millisecond
		h.Requests = append(h.Requests, &Request{ID: id, Class: classRead, Proxy: 1, Incarnation: 1, SentAt: at, Timeout: time.Second,
			Answers: []FinalAnswer{{At: at, Status: "200"}}})
		h.Calls = append(h.Calls, &Call{Serial: 100 + i, Server: "starting", ID: id, FirstByteAt: at, CompleteAt: at})
	}
}
