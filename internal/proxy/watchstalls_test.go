package proxy

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// drainEvent is the line of an event that a coordinator brings; %d is its index.
const drainEvent = `{"index":%d,"endpoints":{"version":2,"full":false,"servers":[{"id":"c1","state":"DRAINING"}]}}`

// Guards against a drain that one process did not know for 13 s, as its timeouts doubled with each bad stream: an
// event is taken within the page's 7 s whatever three streams in a row do instead of bringing it.
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
				h.run(2 * time.Second) // a healthy stream so far
				h.publish(drainEvent)
				took := h.runUntil(2, 60*time.Second)
				if took >= maxEventDelay {
					t.Errorf("%s, %s, %s: the event was taken after %v", first, second, third, took)
				}
				h.close()
			}
		}
	}
}

// checkSlowList has each stream take a time for a long list, evenly, and checks that the list arrives on the stream
// that has begun it, at the price of less than one list more.
func checkSlowList(t *testing.T, lineTime time.Duration) {
	t.Helper()
	h := newWatchHarness(t, func(int) streamScript { return sendEvenly(lineTime) })
	h.run(2 * time.Second)
	list := `{"index":%d,"endpoints":{"version":2,"full":true,"servers":[` + strings.Repeat(" ", 100_000) + `]}}`
	h.publish(list)
	took := h.runUntil(2, 60*time.Second)
	if took > lineTime+harnessStep {
		t.Errorf("taken after %v", took)
	}
	if sent := h.totalBytesWritten(); sent > 2*len(list) {
		t.Errorf("%d bytes were sent of a list of %d", sent, len(list))
	}
}

// Guards against a list that never arrives as its streams are given up, though it comes within the page's 7 s.
func TestSlowListArrivesOnFirstStream(t *testing.T) { checkSlowList(t, 6*time.Second) }

// Guards against a slow coordinator that is asked so often that it gets slower: while a list takes long, at most two
// streams bring it at any time.
func TestSlowCoordinatorIsNotFlooded(t *testing.T) { checkSlowList(t, 20*time.Second) }

// Guards against a coordinator that hangs and is asked more and more often: over a minute in which it brings
// nothing, there is less than one stream a second, and one again within the page's 7 s once it is back.
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
		t.Errorf("%d streams in %v", streams, outage)
	}
	hanging = false
	h.publish(drainEvent)
	if took := h.runUntil(2, 60*time.Second); took >= maxEventDelay {
		t.Errorf("taken after %v", took)
	}
}

// Guards against an index that is lost where streams overlap: each event is passed on once and in order while
// several streams bring the same ones.
func TestOverlappingStreamsDeliverInOrder(t *testing.T) {
	h := newWatchHarness(t, func(number int) streamScript { return sendEvenly(time.Duration(6-number) * time.Second) })
	h.run(2 * time.Second)
	for range 5 {
		h.publish(drainEvent)
	}
	h.runUntil(6, 2*time.Minute)
	if got := fmt.Sprint(h.delivered.indices); got != "[2 3 4 5 6]" {
		t.Errorf("taken: %s", got)
	}
}

// Guards against events that are never taken because the one before them says nothing: an event with an index alone
// is no heartbeat that shows a gap.
func TestEmptyEventIsNotHeartbeat(t *testing.T) {
	for _, empty := range []string{`{"index":%d}`, `{"index":%d,"endpoints":null}`} {
		h := newWatchHarness(t, func(int) streamScript { return sendAll })
		h.run(2 * time.Second)
		h.publish(empty)
		h.publish(drainEvent)
		if took := h.runUntil(3, time.Minute); took >= maxEventDelay {
			t.Errorf("%s: the event behind it was taken after %v, with %d streams", empty, took, len(h.streams))
		}
	}
}
