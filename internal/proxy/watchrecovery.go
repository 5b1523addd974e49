package proxy

// This file recovers events that the watch has skipped: they are requested again on a separate stream, while newer
// events keep arriving on the others.

import (
	"time"

	"cloverdoor/internal/watch"
)

// firstRecoveryDelay is the time from skipping an event to requesting it again. The delay lets events that are
// skipped shortly after one another share a request. The delay doubles with each further request.
const firstRecoveryDelay = 500 * time.Millisecond

// recordMissing records the events with the indices in [from, to] as missing and schedules their recovery.
// requests is the number of times that they have been requested again already.
func (w *coordinatorWatch) recordMissing(from, to int64, requests int) {
	if from > to {
		return
	}
	w.missing.add(from, to, requests)
	w.scheduleRecovery()
}

// scheduleRecovery schedules the next request for the missing events. The delay depends on the event with the fewest
// requests; a request that is already scheduled for an earlier time is not put off.
func (w *coordinatorWatch) scheduleRecovery() {
	due := w.loop.Now() + firstRecoveryDelay<<w.missing.fewestRequests()
	if w.recoveryTimer != nil && w.recoveryDue <= due {
		return
	}
	w.loop.Stop(w.recoveryTimer)
	w.recoveryDue = due
	w.recoveryTimer = w.loop.At(due, w.recoverMissing)
}

// stopRecovery cancels the scheduled request.
func (w *coordinatorWatch) stopRecovery() {
	w.loop.Stop(w.recoveryTimer)
	w.recoveryTimer = nil
}

// recoverMissing requests the missing events again: it opens a stream that starts at the first of them and closes
// the previous recovery stream. Events that have reached maxRequestsForMissing are given up.
func (w *coordinatorWatch) recoverMissing() {
	w.recoveryTimer = nil
	for _, s := range w.streams {
		if s.recovering {
			w.closeStream(s)
			break
		}
	}
	lostEvents := w.missing.dropExhausted()
	if lostEvents > 0 {
		w.log.Error("coordinator events lost, given up", "events", lostEvents, "event", w.lastIndex)
	}
	if w.missing.isEmpty() {
		w.scheduleReconnect(errRecoveryEnded)
		return
	}
	w.missing.recordRequest()
	w.openStreamAfter(w.missing.lowest()-1, true)
	w.scheduleRecovery()
}

// deliverLate delivers an event that was missing. It drops any other event as a repeat.
func (w *coordinatorWatch) deliverLate(ev watch.Event) {
	if !w.missing.has(ev.Index) || ev.IsHeartbeat() {
		return
	}
	superseded := func(endpoint string) bool { return w.missing.isSuperseded(ev.Index, endpoint) }
	w.handler.applyLateEvent(ev, superseded)
	w.missing.recordDelivered(ev)
	w.log.Warn("coordinator event recovered", "event", ev.Index)
	if w.missing.isEmpty() {
		w.stopRecovery()
	}
}
