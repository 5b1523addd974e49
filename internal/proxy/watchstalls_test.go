package proxy

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// drainEvent is the line of an event that drains an endpoint; %d stands for its index.
const drainEvent = `{"index":%d,"endpoints":{"version":2,"full":false,"servers":[{"id":"c1","state":"DRAINING"}]}}`

// TestEventDeliveredAfterThreeFailedStreams guards against timeouts that double with each failed stream: one proxy
// did not receive a drain for 13 s. An event must be delivered within maxEventDelay, in whatever ways three streams
// in a row fail.
func TestEventDeliveredAfterThreeFailedStreams(t *testing.T) {
	for first, firstScript := range failureScripts() {
		for second, secondScript := range failureScripts() {
			for third, thirdScript := range failureScripts() {
				scripts := []func() streamScript{firstScript, secondScript, thirdScript}
				h := newWatchHarness(t, func(number int) streamScript {
					if number < len(scripts) {
						return scripts[number]()
					}
					return sendAll
				})
				h.run(2 * time.Second) // the first stream is healthy until the event
				h.publish(drainEvent)
				took := h.runUntil(2, 60*time.Second)
				if took >= maxEventDelay {
					t.Errorf("%s; %s; %s: the event was delivered after %v", first, second, third, took)
				}
				h.close()
			}
		}
	}
}

// checkSlowList has each stream spread a long list evenly over lineTime. It checks that the list arrives on the first
// stream that sends it, and that all the other streams together send at most the length of one more list.
func checkSlowList(t *testing.T, lineTime time.Duration) {
	t.Helper()
	h := newWatchHarness(t, func(int) streamScript { return sendEvenly(lineTime) })
	h.run(2 * time.Second)
	list := `{"index":%d,"endpoints":{"version":2,"full":true,"servers":[` + strings.Repeat(" ", 100_000) + `]}}`
	h.publish(list)
	took := h.runUntil(2, 60*time.Second)
	if took > lineTime+harnessStep {
		t.Errorf("the list was delivered after %v", took)
	}
	if sent := h.totalBytesWritten(); sent > 2*len(list) {
		t.Errorf("%d bytes were sent for a list of %d", sent, len(list))
	}
}

// TestSlowListArrivesOnFirstStream guards against a list that never arrives because its streams are closed too early,
// although sending it takes less than maxEventDelay.
func TestSlowListArrivesOnFirstStream(t *testing.T) { checkSlowList(t, 6*time.Second) }

// TestSlowCoordinatorIsNotFlooded guards against a slow coordinator that gets slower because it serves too many
// streams: at most two streams carry a long list at any time, and together they send at most twice its length.
func TestSlowCoordinatorIsNotFlooded(t *testing.T) { checkSlowList(t, 20*time.Second) }

// TestSilentCoordinatorGetsFewStreams guards against a hanging coordinator that is called more and more often. In a
// minute in which it sends nothing, at most one stream a second is opened, and an event published once it sends
// again is delivered within maxEventDelay.
func TestSilentCoordinatorGetsFewStreams(t *testing.T) {
	const outage = time.Minute
	hanging := true
	h := newWatchHarness(t, func(int) streamScript {
		if hanging {
			return func(*fakeStream) {}
		}
		return sendAll
	})
	h.run(outage)
	if streams := len(h.streams); streams > int(outage/time.Second) {
		t.Errorf("%d streams were opened in %v", streams, outage)
	}
	hanging = false
	h.publish(drainEvent)
	if took := h.runUntil(2, 60*time.Second); took >= maxEventDelay {
		t.Errorf("the event was delivered after %v", took)
	}
}

// TestOverlappingStreamsDeliverInOrder guards against events that are lost when streams overlap. Each event must be
// delivered once and in order while several streams carry the same events.
func TestOverlappingStreamsDeliverInOrder(t *testing.T) {
	h := newWatchHarness(t, func(number int) streamScript { return sendEvenly(time.Duration(6-number) * time.Second) })
	h.run(2 * time.Second)
	for range 5 {
		h.publish(drainEvent)
	}
	h.runUntil(6, 2*time.Minute)
	if got := fmt.Sprint(h.delivered.indices); got != "[2 3 4 5 6]" {
		t.Errorf("delivered: %s, want [2 3 4 5 6]", got)
	}
}

// TestEmptyEventIsNotHeartbeat guards against events that are never delivered because the event before them is empty.
// An event with nothing but an index must not be treated as a heartbeat: a heartbeat with a new index shows that
// an event is missing.
func TestEmptyEventIsNotHeartbeat(t *testing.T) {
	for _, emptyEvent := range []string{`{"index":%d}`, `{"index":%d,"endpoints":null}`} {
		h := newWatchHarness(t, func(int) streamScript { return sendAll })
		h.run(2 * time.Second)
		h.publish(emptyEvent)
		h.publish(drainEvent)
		if took := h.runUntil(3, time.Minute); took >= maxEventDelay {
			t.Errorf("%s: the next event was delivered after %v, with %d streams", emptyEvent, took, len(h.streams))
		}
	}
}
