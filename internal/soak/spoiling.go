package soak

// This file holds how the coordinator spoils the lines of events: a proxy has to know each event within
// notifyWithin all the same, as a new stream brings it clean.

// maxSpoiltStreams is how many streams in a row are spoilt, and how often one event is.
const maxSpoiltStreams = 3

// afterLine is what a stream does after a line.
type afterLine int

const (
	goOn        afterLine = iota // the line was brought whole
	goOnWithout                  // it was spoilt, and the next event follows
	holdStream                   // nothing more comes, and the stream stays open
	endStream                    // the stream ends
)

// spoiling is what the coordinator has spoilt for one proxy since its mode was set.
type spoiling struct {
	mode        coordinatorMode
	hadLine     bool        // a heartbeat was brought: the streams before have not failed
	streamsLeft int         // that may still be spoilt
	spoilt      map[int]int // by index of an event: how often it was spoilt
}

func newSpoiling(m coordinatorMode) spoiling {
	return spoiling{mode: m, streamsLeft: maxSpoiltStreams, spoilt: map[int]int{}}
}

// noteHeartbeat notes that a stream has brought a heartbeat.
func (ws *watchServer) noteHeartbeat() {
	ws.c.mu.Lock()
	defer ws.c.mu.Unlock()
	ws.spoiling.hadLine = true
}

// spoil returns what is written for a line, and what the stream does after it. The event is nil for a heartbeat,
// which is never spoilt.
func (ws *watchServer) spoil(e *WatchEvent, line string) (text string, next afterLine) {
	ws.c.mu.Lock()
	defer ws.c.mu.Unlock()
	if e == nil || !ws.spoiling.hadLine {
		return line + "\n", goOn
	}
	return ws.spoiling.apply(e, line)
}

// apply spoils the line of an event as the mode says. Half a line before the whole spoils one event alone: that is
// one of the endpoint list, as purges are many and soon without effect.
func (s *spoiling) apply(e *WatchEvent, line string) (text string, next afterLine) {
	whole := line + "\n"
	half := line[:len(line)/2]
	switch {
	case s.mode == modeDouble:
		return whole + whole, goOn
	case s.mode == modeHalf && e.changesEndpoints() && s.spoilt[e.Index] < maxSpoiltStreams:
		s.spoilt[e.Index]++
		return half + whole, goOnWithout
	case s.mode == modeCut && s.streamsLeft > 0:
		s.streamsLeft--
		return half, endStream
	case s.mode == modeShort && s.streamsLeft > 0:
		s.streamsLeft--
		return half, holdStream
	}
	return whole, goOn
}
