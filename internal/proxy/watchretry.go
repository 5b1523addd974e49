package proxy

// This file holds when the watch opens a stream beside stalled ones or instead of them, and when it reconnects.

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// watchConnectTimeout is how long a connect to the coordinator may take before another stream is opened.
	watchConnectTimeout = 500 * time.Millisecond
	// silenceTimeout is how long a stream may receive nothing. The coordinator sends a heartbeat every
	// second.
	silenceTimeout = 2500 * time.Millisecond
	// lineTimeout is how long a stream may receive no complete line, while a long list arrives in pieces for
	// example.
	lineTimeout = 3500 * time.Millisecond
	// maxLineTime is how long a stream that goes on receiving pieces of a line is kept.
	maxLineTime = 32 * time.Second
	// streamCheckInterval is the longest time between checks of the streams for these timeouts.
	streamCheckInterval = silenceTimeout / 10
	// minStreamCheckInterval is the shortest.
	minStreamCheckInterval = 50 * time.Millisecond

	// quickRetries is how many streams in a row are opened quickRetryTimeout after the one before has
	// stalled. After 7 s a drain must be heeded whether its event has arrived or not: lineTimeout and as many
	// retries have to end well before that.
	quickRetries = 3
	// quickRetryTimeout is how long such a stream may take for its first line: a heartbeat comes within a
	// second.
	quickRetryTimeout = 1250 * time.Millisecond
	// maxRetryTimeout bounds that time, which doubles with each further stall.
	maxRetryTimeout = 4 * quickRetryTimeout

	// maxWatchStreams is how many streams may be open at once.
	maxWatchStreams = 4
	// maxReceivingStreams is how many of them may be in the middle of a line, as each makes a slow coordinator
	// slower.
	maxReceivingStreams = 2

	// minReconnectBackoff is the pause before the first reconnect after an outage has begun. It doubles with
	// each further one.
	minReconnectBackoff = 100 * time.Millisecond
	// maxReconnectBackoff bounds that pause. It is short, as the coordinator may report drains as soon as it
	// is back.
	maxReconnectBackoff = 400 * time.Millisecond
)

// checkStreams opens a stream when all that are open are stalled. While none is open, a reconnect is scheduled
// already.
func (w *coordinatorWatch) checkStreams() {
	if len(w.streams) > 0 && !w.hasHealthyStream() {
		w.log.Warn("coordinator watch stalled, opening another stream",
			"event", w.lastIndex, "streams", len(w.streams), "stream", w.streamsOpened+1)
		w.stalls++
		w.openStream()
	}
	w.loop.At(w.loop.Now()+w.nextStreamCheck(), w.checkStreams)
}

// nextStreamCheck is the time until the streams have to be checked again.
func (w *coordinatorWatch) nextStreamCheck() time.Duration {
	next := time.Duration(0)
	for _, s := range w.streams {
		next = max(next, s.stalledAt()-w.loop.Now())
	}
	return min(max(next, minStreamCheckInterval), streamCheckInterval)
}

// hasHealthyStream reports whether a stream is open that is not stalled.
func (w *coordinatorWatch) hasHealthyStream() bool {
	return slices.ContainsFunc(w.streams, func(s *watchStream) bool { return !s.isStalled() })
}

// retryTimeout is how long a new stream may take for its first line after all others have stalled.
func (w *coordinatorWatch) retryTimeout() time.Duration {
	doublings := max(0, w.stalls-quickRetries)
	return min(quickRetryTimeout<<min(doublings, quickRetries), maxRetryTimeout)
}

// closeExcessStreams closes streams until one more may be opened. Of those that are in the middle of a line, the one that
// has received most of it stays; after it, the newer ones do.
func (w *coordinatorWatch) closeExcessStreams() {
	kept := w.mostAdvancedStream()
	receiving := 0
	for _, s := range w.streams {
		if s.isReceiving() {
			receiving++
		}
	}
	for _, s := range slices.Clone(w.streams) {
		tooManyReceive := receiving >= maxReceivingStreams && s.isReceiving()
		if s != kept && (tooManyReceive || len(w.streams) >= maxWatchStreams) {
			w.closeStream(s)
		}
	}
}

// mostAdvancedStream is the stream that has received most of a line, unless it has taken maxLineTime; nil: none
// is in the middle of one.
func (w *coordinatorWatch) mostAdvancedStream() *watchStream {
	var most *watchStream
	for _, s := range w.streams {
		if !s.isReceiving() || w.loop.Now()-s.lastReadableLineAt > maxLineTime {
			continue
		}
		if most == nil || s.conn.UnparsedBytes() > most.conn.UnparsedBytes() {
			most = s
		}
	}
	return most
}

// scheduleReconnect opens a stream after the backoff, unless a healthy one is open.
func (w *coordinatorWatch) scheduleReconnect(err error) {
	if w.reconnectTimer != nil || w.hasHealthyStream() {
		return
	}
	if w.backoff == minReconnectBackoff { // once for each outage
		w.log.Warn("coordinator watch lost, reconnecting", "error", err, "event", w.lastIndex)
	}
	w.reconnectTimer = w.loop.At(w.loop.Now()+jitteredBackoff(w.backoff, w.rng), w.reconnect)
	w.backoff = min(2*w.backoff, maxReconnectBackoff)
}

// reconnect opens a stream, unless a healthy one is open by now.
func (w *coordinatorWatch) reconnect() {
	w.reconnectTimer = nil
	if !w.hasHealthyStream() {
		w.openStream()
	}
}

// jitteredBackoff draws a pause between half of backoff and all of it. All processes of a fleet lose a
// coordinator at the same time: with equal pauses they would reconnect at the same time too.
func jitteredBackoff(backoff time.Duration, rng *rand.Rand) time.Duration {
	return backoff/2 + time.Duration(rng.Int64N(int64(backoff/2)))
}
