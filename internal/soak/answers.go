package soak

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	bodySize      = 10 << 10              // bytes of an object
	fillTime      = 8 * time.Millisecond  // of a simulated fill
	maxAnswerTime = 25 * time.Millisecond // for a server that is not slow
	maxWriteTime  = 2 * maxAnswerTime
	slowFactor    = 20 // factor by which a slow server takes longer

	overloadChance = 0.5         // probability that a call is rejected during an "overload" fault
	crashedChance  = 0.02        // probability that a write is answered with "crashed"
	joinChance     = 0.03        // probability that a call joins a fill that began before it
	maxJoinedAge   = time.Second // maximum age of such a fill when the call joins it
)

// recordCall adds a call to the history. args holds the command and its arguments: REQ, the ID, the fields
// and the body.
func (s *server) recordCall(args []string, firstByteAt time.Duration, readLate bool) *Call {
	call := &Call{
		Server: s.id, ID: args[1], FirstByteAt: firstByteAt, CompleteAt: s.history.Now(), ReadLate: readLate,
		Serial: s.serials.next(),
	}
	for _, field := range strings.Split(args[2], ",") {
		name, value, _ := strings.Cut(field, "=")
		switch name {
		case "c":
			call.Class = value
		case "k":
			call.Object = value
		case "src":
			call.FillSource = value
		case "w":
			call.Timeout = parseMillis(value)
		case "maxage":
			call.MaxAge = parseMillis(value)
		}
	}
	s.history.withLock(func() { s.history.Calls = append(s.history.Calls, call) })
	s.history.Logf(s.id, "call %s %s k=%s src=%s w=%v maxage=%v read-late=%v serial=%d",
		call.ID, call.Class, call.Object, call.FillSource, call.Timeout, call.MaxAge, readLate, call.Serial)
	return call
}

// parseMillis parses a number of milliseconds. It returns 0 if the text is not a number.
func parseMillis(text string) time.Duration {
	millis, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return time.Duration(millis) * time.Millisecond
}

// answer answers one call.
func (s *server) answer(call *Call, out *lockedWriter) {
	if s.faultActive(&s.overloadUntil) && s.draw() < overloadChance {
		s.writeAnswer(call, out, "overload", "-", "")
		return
	}
	if call.Class == classWrite {
		s.execute(call, out)
		return
	}
	s.simulateWork(maxAnswerTime)
	madeAt, cacheStatus, found := s.copyFor(call)
	if !found {
		s.writeAnswer(call, out, "not_here", "note=PEER_MISS", "")
		return
	}
	s.history.withLock(func() { call.CopyMadeAt = madeAt })
	body := fmt.Sprintf("%d %s ", call.Serial, call.Object)
	body += strings.Repeat("x", bodySize-len(body))
	fields := fmt.Sprintf("etag=%016x,made=%d,note=%s,ttfb=3", madeAt.UnixMilli(), madeAt.UnixMilli(), cacheStatus)
	s.writeAnswer(call, out, "served", fields, body)
}

// execute executes a write at the origin, and answers "not_here" at any other server.
func (s *server) execute(call *Call, out *lockedWriter) {
	if s.kind != "origin" {
		s.writeAnswer(call, out, "not_here", "-", "")
		return
	}
	s.history.withLock(func() { call.Executed = true })
	s.simulateWork(maxWriteTime)
	result := "served"
	if s.draw() < crashedChance {
		result = "crashed"
	}
	s.writeAnswer(call, out, result, "-", fmt.Sprintf("%d written", call.Serial))
}

// simulateWork sleeps for a random time below maxTime, or slowFactor times as long if the server is slow. If the
// server hangs after that, it waits for the end of the hang.
func (s *server) simulateWork(maxTime time.Duration) {
	workTime := time.Duration(s.draw() * float64(maxTime))
	if s.faultActive(&s.slowUntil) {
		workTime *= slowFactor
	}
	time.Sleep(workTime)
	s.waitWhileHung()
}

// copyFor finds the cached copy that answers a call, or simulates a fill from the source that the call names. The
// origin needs no source. The cache status tells the proxy where the copy came from. If found is false, the server has
// neither a copy nor a source.
func (s *server) copyFor(call *Call) (madeAt time.Time, cacheStatus string, found bool) {
	s.mu.Lock()
	madeAt, cached := s.copies[call.Object]
	s.mu.Unlock()
	if cached && (call.MaxAge == 0 || time.Since(madeAt) <= call.MaxAge) {
		return madeAt, "TCP_HIT", true
	}
	if call.FillSource == "" && s.kind != "origin" {
		return madeAt, "", false
	}
	if s.draw() < joinChance {
		age := time.Duration(s.draw() * float64(maxJoinedAge))
		return time.Now().Add(-age), "TCP_JOIN", true
	}
	madeAt = time.Now()
	time.Sleep(fillTime)
	s.mu.Lock()
	s.copies[call.Object] = madeAt
	s.mu.Unlock()
	return madeAt, "TCP_MISS", true
}

// writeAnswer writes an answer. During a "spoil" fault the answer may be malformed.
func (s *server) writeAnswer(call *Call, out *lockedWriter, result, fields, body string) {
	s.waitWhileHung()
	s.history.withLock(func() { call.Result = result })
	encoded := encodeBulks(call.ID, result, fields, body)
	mustClose := false
	if s.faultActive(&s.malformUntil) {
		encoded, mustClose = malform(encoded, s.draw())
	}
	out.write(encoded)
	s.history.Logf(s.id, "answered %s %s serial=%d", call.ID, result, call.Serial)
	if mustClose {
		out.conn.Close() //nolint:errcheck // the proxy may have closed it
	}
}

// malform replaces an answer with garbage, truncates it, duplicates it or leaves it as it is, depending on a random
// number from [0, 1). It reports whether the connection is to be closed after it.
func malform(answer []byte, draw float64) (malformed []byte, mustClose bool) {
	half := answer[:len(answer)/2]
	switch {
	case draw < 0.1:
		return []byte("?nonsense\r\n"), false
	case draw < 0.2:
		return half, true
	case draw < 0.25:
		return half, false
	case draw < 0.35:
		return append(answer, answer...), false
	default:
		return answer, false
	}
}

// lockedWriter serializes the answers that are written to one connection.
type lockedWriter struct {
	mu   sync.Mutex
	conn net.Conn
}

func (w *lockedWriter) write(data []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conn.Write(data) //nolint:errcheck // the proxy observes a lost connection itself
}
