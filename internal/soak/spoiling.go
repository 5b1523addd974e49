package soak

// This file holds how the coordinator spoils the lines of events: a proxy has to know each event within
// notifyWithin all the same, as a new stream brings it clean.

// maxCorruptions is how many streams in a row are spoilt, and how often one event is.
const maxCorruptions = 3

// streamAction is what a stream does after a line.
type streamAction int

const (
	continueDelivered   streamAction = iota // the line was brought whole
	continueUndelivered                     // it was spoilt, and the next event follows
	stallStream                             // nothing more comes, and the stream stays open
	closeStream                             // the stream ends
)

// corruption is what the coordinator has spoilt for one proxy since its mode was set.
type corruption struct {
	mode             coordinatorMode
	heartbeatSent    bool        // a heartbeat was brought: the streams before have not failed
	streamsToCorrupt int         // that may still be spoilt
	corruptedLines   map[int]int // by index of an event: how often it was spoilt
}

func newCorruption(m coordinatorMode) corruption {
	return corruption{mode: m, streamsToCorrupt: maxCorruptions, corruptedLines: map[int]int{}}
}

// recordHeartbeat notes that a stream has brought a heartbeat.
func (ws *watchServer) recordHeartbeat() {
	ws.c.mu.Lock()
	defer ws.c.mu.Unlock()
	ws.corruption.heartbeatSent = true
}

// corrupt returns what is written for a line, and what the stream does after it. The event is nil for a heartbeat,
// which is never spoilt.
func (ws *watchServer) corrupt(e *WatchEvent, line string) (text string, next streamAction) {
	ws.c.mu.Lock()
	defer ws.c.mu.Unlock()
	if e == nil || !ws.corruption.heartbeatSent {
		return line + "\n", continueDelivered
	}
	return ws.corruption.apply(e, line)
}

// apply spoils the line of an event as the mode says. Half a line before the whole spoils one event alone: that is
// one of the endpoint list, as purges are many and soon without effect.
func (s *corruption) apply(e *WatchEvent, line string) (text string, next streamAction) {
	whole := line + "\n"
	half := line[:len(line)/2]
	switch {
	case s.mode == modeDuplicate:
		return whole + whole, continueDelivered
	case s.mode == modeHalfPrefix && e.changesEndpoints() && s.corruptedLines[e.Index] < maxCorruptions:
		s.corruptedLines[e.Index]++
		return half + whole, continueUndelivered
	case s.mode == modeTruncateClose && s.streamsToCorrupt > 0:
		s.streamsToCorrupt--
		return half, closeStream
	case s.mode == modeTruncateStall && s.streamsToCorrupt > 0:
		s.streamsToCorrupt--
		return half, stallStream
	}
	return whole, continueDelivered
}
