package proxy

// This file holds the recovery of events that the watch has passed over: they are requested again on a stream of
// their own, while what is newer goes on arriving on the others.

import (
	"time"

	"cloverdoor/internal/watch"
)

// firstRecoveryDelay is the time from passing over an event to requesting it again, so that events that are
// passed over together are requested together. It doubles with each further request.
const firstRecoveryDelay = 500 * time.Millisecond

// recordMissing notes that the events from one index to another are missing and have been requested again as often as
// requests says.
func (w *coordinatorWatch) recordMissing(from, to int64, requests int) {
	if from > to {
		return
	}
	w.missing.add(from, to, requests)
	w.scheduleRecovery()
}

// scheduleRecovery requests missing events again after the delay that is due for the least requested of them, or
// earlier if that was scheduled before.
func (w *coordinatorWatch) scheduleRecovery() {
	due := w.loop.Now() + firstRecoveryDelay<<w.missing.fewestRequests()
	if w.recoveryTimer != nil && w.recoveryDue <= due {
		return
	}
	w.loop.Stop(w.recoveryTimer)
	w.recoveryDue = due
	w.recoveryTimer = w.loop.At(due, w.recoverMissing)
}

// stopRecovery requests nothing again.
func (w *coordinatorWatch) stopRecovery() {
	w.loop.Stop(w.recoveryTimer)
	w.recoveryTimer = nil
}

// recoverMissing opens a stream that follows from before the first missing event, in place of the one that was
// opened for this before. Events that were requested often enough are given up.
func (w *coordinatorWatch) recoverMissing() {
	w.recoveryTimer = nil
	for _, s := range w.streams {
		if s.recovering {
			w.closeStream(s)
			break
		}
	}
	lost := w.missing.dropExhausted()
	if lost > 0 {
		w.log.Error("coordinator events lost, given up", "events", lost, "event", w.lastIndex)
	}
	if w.missing.isEmpty() {
		w.scheduleReconnect(errRecoveryEnded)
		return
	}
	w.missing.recordRequest()
	w.openStreamAfter(w.missing.lowest()-1, true)
	w.scheduleRecovery()
}

// deliverLate passes on an event that was missing. Any other event up to lastIndex is a repeat.
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
