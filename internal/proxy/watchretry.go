package proxy

// This file decides when the watch opens another stream, beside stalled ones or in place of them, and when it
// reconnects.

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"cloverdoor/internal/watch"
)

const (
	// watchConnectTimeout is the time after which a stream that is still connecting is stalled, so that another one
	// is opened.
	watchConnectTimeout = 500 * time.Millisecond
	// silenceTimeout is the time without any input after which a stream is stalled. The coordinator sends a
	// heartbeat every second.
	silenceTimeout = 2500 * time.Millisecond
	// lineTimeout is the time without a readable line after which a stream is stalled, even while it receives
	// pieces of a line, such as a long list.
	lineTimeout = 3500 * time.Millisecond
	// maxLineTime is the longest time for which a stream that keeps receiving pieces of one line is kept while others
	// are closed.
	maxLineTime = 32 * time.Second
	// streamCheckInterval is the longest time between checks of the streams for stalls.
	streamCheckInterval = silenceTimeout / 10
	// minStreamCheckInterval is the shortest time between those checks.
	minStreamCheckInterval = 50 * time.Millisecond

	// quickRetries is the number of streams in a row that get only quickRetryTimeout for their first line. A drain
	// must be obeyed after 7 s whether its event has arrived or not, so all of these streams must be opened well
	// before that: the first is opened at most lineTimeout after the last readable line, the others at intervals of
	// quickRetryTimeout, so the last one after about 6 s, which leaves it about 1 s to deliver the event.
	quickRetries = 3
	// quickRetryTimeout is the longest time that such a stream may take for its first line. A heartbeat arrives
	// within a second.
	quickRetryTimeout = 1250 * time.Millisecond
	// maxRetryTimeout bounds the time for the first line, which doubles with each stall after the quick retries.
	maxRetryTimeout = 4 * quickRetryTimeout

	// maxWatchStreams is the maximum number of streams open at once.
	maxWatchStreams = 4
	// maxReceivingStreams is the maximum number of streams in the middle of a line at once. Each such stream slows
	// down an already slow coordinator.
	maxReceivingStreams = 2

	// minReconnectBackoff is the longest pause before the first reconnect of an outage. The pause doubles with each
	// further reconnect.
	minReconnectBackoff = 100 * time.Millisecond
	// maxReconnectBackoff bounds the pause. It is short because the coordinator may report drains as soon as it is
	// back.
	maxReconnectBackoff = 400 * time.Millisecond
)

// checkStreams opens another stream when all open ones are stalled, and schedules the next check. While no stream is
// open, a reconnect is already scheduled.
func (w *coordinatorWatch) checkStreams() {
	if len(w.streams) > 0 && !w.hasHealthyStream() {
		w.log.Warn("coordinator watch stalled, opening another stream",
			"event", w.lastIndex, "streams", len(w.streams), "stream", w.streamsOpened+1)
		w.stalls++
		w.openStream()
	}
	w.loop.At(w.loop.Now()+w.nextStreamCheck(), w.checkStreams)
}

// nextStreamCheck returns the time until the streams must be checked again.
func (w *coordinatorWatch) nextStreamCheck() time.Duration {
	untilStalled := time.Duration(0)
	for _, s := range w.streams {
		untilStalled = max(untilStalled, s.stalledAt()-w.loop.Now())
	}
	return min(max(untilStalled, minStreamCheckInterval), streamCheckInterval)
}

// hasHealthyStream reports whether at least one open stream is not stalled.
func (w *coordinatorWatch) hasHealthyStream() bool {
	return slices.ContainsFunc(w.streams, func(s *watchStream) bool { return !s.isStalled() })
}

// retryTimeout returns the longest time that a new stream may take for its first line after all others have stalled.
func (w *coordinatorWatch) retryTimeout() time.Duration {
	doublings := max(0, w.stalls-quickRetries)
	return min(quickRetryTimeout<<min(doublings, quickRetries), maxRetryTimeout)
}

// closeExcessStreams closes streams so that one more may be opened. If maxReceivingStreams or more are in the
// middle of a line, it closes them, and if maxWatchStreams are open, it closes the oldest. It never closes the
// stream that mostAdvancedStream returns.
func (w *coordinatorWatch) closeExcessStreams() {
	keptStream := w.mostAdvancedStream()
	receiving := 0
	for _, s := range w.streams {
		if s.isReceiving() {
			receiving++
		}
	}
	for _, s := range slices.Clone(w.streams) {
		tooManyReceive := receiving >= maxReceivingStreams && s.isReceiving()
		if s != keptStream && (tooManyReceive || len(w.streams) >= maxWatchStreams) {
			w.closeStream(s)
		}
	}
}

// mostAdvancedStream returns the stream that has received the most bytes of an incomplete line, among those that have
// spent at most maxLineTime on the line; nil: there is none.
func (w *coordinatorWatch) mostAdvancedStream() *watchStream {
	var mostAdvanced *watchStream
	for _, s := range w.streams {
		if !s.isReceiving() || w.loop.Now()-s.lastReadableLineAt > maxLineTime {
			continue
		}
		if mostAdvanced == nil || s.conn.UnparsedBytes() > mostAdvanced.conn.UnparsedBytes() {
			mostAdvanced = s
		}
	}
	return mostAdvanced
}

// scheduleReconnect schedules a reconnect after the backoff, unless one is scheduled already or a healthy stream is
// open. An unreadable line ends an outage. err is the logged reason.
func (w *coordinatorWatch) scheduleReconnect(err error) {
	if w.reconnectTimer != nil || w.hasHealthyStream() {
		return
	}
	if w.backoff == minReconnectBackoff { // once for each outage
		w.log.Warn("coordinator watch lost, reconnecting", "error", err, "event", w.lastIndex)
	}
	if errors.Is(err, watch.ErrMalformed) { // the coordinator is there: the pause does not grow
		w.backoff = minReconnectBackoff
	}
	w.reconnectTimer = w.loop.At(w.loop.Now()+jitteredBackoff(w.backoff, w.rng), w.reconnect)
	w.backoff = min(2*w.backoff, maxReconnectBackoff)
}

// reconnect opens a stream, unless a healthy one has been opened meanwhile.
func (w *coordinatorWatch) reconnect() {
	w.reconnectTimer = nil
	if !w.hasHealthyStream() {
		w.openStream()
	}
}

// jitteredBackoff returns a random pause between half of backoff and all of it. All proxies of a fleet lose their
// coordinator at the same time; with equal pauses they would also reconnect at the same time.
func jitteredBackoff(backoff time.Duration, rng *rand.Rand) time.Duration {
	return backoff/2 + time.Duration(rng.Int64N(int64(backoff/2)))
}
