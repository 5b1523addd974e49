package soak

// The code in this file corrupts the lines of events that the coordinator sends. A proxy still has to know each event
// within maxNotifyDelay, because a new stream sends it again intact.

// maxCorruptions is the maximum number of corrupted streams in a row, and of times that one event's line is corrupted.
const maxCorruptions = 3

// streamAction says what a stream does after a line.
type streamAction int

const (
	continueDelivered   streamAction = iota // the line was sent intact; the next one follows
	continueUndelivered                     // the line was corrupted; the next event follows
	stallStream                             // the stream stays open and sends nothing more
	closeStream                             // the stream is closed
)

// corruption records what the coordinator has corrupted for one proxy since its mode was set.
type corruption struct {
	mode             coordinatorMode
	heartbeatSent    bool        // sent since the mode was set, so that no failed streams precede the corrupted ones
	streamsToCorrupt int         // number of streams that may still be corrupted
	corruptedLines   map[int]int // by event index: number of times that the event's line was corrupted
}

func newCorruption(m coordinatorMode) corruption {
	return corruption{mode: m, streamsToCorrupt: maxCorruptions, corruptedLines: map[int]int{}}
}

// recordHeartbeat records that a stream has sent a heartbeat.
func (ws *watchServer) recordHeartbeat() {
	ws.c.mu.Lock()
	defer ws.c.mu.Unlock()
	ws.corruption.heartbeatSent = true
}

// corrupt returns the text to write for a line, and what the stream does after it. The event is nil for a heartbeat,
// which is never corrupted. Nothing is corrupted before the first heartbeat since the mode was set.
func (ws *watchServer) corrupt(e *WatchEvent, line string) (output string, nextAction streamAction) {
	ws.c.mu.Lock()
	defer ws.c.mu.Unlock()
	if e == nil || !ws.corruption.heartbeatSent {
		return line + "\n", continueDelivered
	}
	return ws.corruption.corruptLine(e, line)
}

// corruptLine corrupts the line of an event according to the mode. modeHalfPrefix damages a single event. It is applied
// only to events of the endpoint list, because purges are many and each soon has no effect any more.
func (c *corruption) corruptLine(e *WatchEvent, line string) (output string, nextAction streamAction) {
	wholeLine := line + "\n"
	halfLine := line[:len(line)/2]
	switch {
	case c.mode == modeDuplicate:
		return wholeLine + wholeLine, continueDelivered
	case c.mode == modeHalfPrefix && e.changesEndpoints() && c.corruptedLines[e.Index] < maxCorruptions:
		c.corruptedLines[e.Index]++
		return halfLine + wholeLine, continueUndelivered
	case c.mode == modeTruncateClose && c.streamsToCorrupt > 0:
		c.streamsToCorrupt--
		return halfLine, closeStream
	case c.mode == modeTruncateStall && c.streamsToCorrupt > 0:
		c.streamsToCorrupt--
		return halfLine, stallStream
	}
	return wholeLine, continueDelivered
}
