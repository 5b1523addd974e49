package soak

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// output is the writing side of a connection.
type output struct {
	mu   sync.Mutex
	conn net.Conn
}

func (o *output) write(text []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.conn.Write(text) //nolint:errcheck // a lost connection shows at the proxy
}

// write carries out what must not run twice.
func (s *server) write(c *Call, out *output) {
	if s.kind != "origin" {
		s.writeAnswer(c, out, "not_here", "-", "")
		return
	}
	s.h.locked(func() { c.Ran = true })
	s.wait(2 * answerTime)
	word := "served"
	if s.draw() < 0.02 {
		word = "crashed"
	}
	s.writeAnswer(c, out, word, "-", fmt.Sprintf("%d written", c.Serial))
}

func (s *server) wait(most time.Duration) {
	pause := time.Duration(s.draw() * float64(most))
	if s.isBefore(&s.slowUntil) {
		pause *= 20
	}
	time.Sleep(pause)
	s.waitWhileHung()
}

const (
	bodySize           = 10 << 10 // bytes of an object
	maxBulk            = 1 << 20  // of a command
	fillTime           = 8 * time.Millisecond
	answerTime         = 25 * time.Millisecond  // at the most, while all is well
	lateReadsAfterHang = 300 * time.Millisecond // within which a server has read what came while it hung
	maxPurgeDelay      = 5 * time.Second        // within which a server drops copies that a purge made void
)

// record takes note of a call.
func (s *server) record(words []string, first time.Duration, held bool) *Call {
	c := &Call{Server: s.id, ID: words[1], FirstByteAt: first, CompleteAt: s.h.Now(), ReadLate: held, Serial: s.serial.next()}
	for _, field := range strings.Split(words[2], ",") {
		name, value, _ := strings.Cut(field, "=")
		millis, _ := strconv.Atoi(value)
		switch name {
		case "c":
			c.Class = value
		case "k":
			c.Object = value
		case "src":
			c.Source = value
		case "w":
			c.Timeout = time.Duration(millis) * time.Millisecond
		case "maxage":
			c.MaxAge = time.Duration(millis) * time.Millisecond
		}
	}
	s.h.locked(func() { s.h.Calls = append(s.h.Calls, c) })
	s.h.Note(s.id, "call %s %s k=%s src=%s w=%v maxage=%v held=%v serial=%d", c.ID, c.Class, c.Object, c.Source, c.Timeout, c.MaxAge, held, c.Serial)
	return c
}

// answer answers one call.
func (s *server) answer(c *Call, out *output) {
	if s.isBefore(&s.overloadUntil) && s.draw() < 0.5 {
		s.writeAnswer(c, out, "overload", "-", "")
		return
	}
	if c.Class == classWrite {
		s.write(c, out)
		return
	}
	s.wait(answerTime)
	made, note, held := s.copyFor(c)
	if !held {
		s.writeAnswer(c, out, "not_here", "note=PEER_MISS", "")
		return
	}
	s.h.locked(func() { c.CopyMadeAt = made })
	body := fmt.Sprintf("%d %s ", c.Serial, c.Object)
	body += strings.Repeat("x", bodySize-len(body))
	s.writeAnswer(c, out, "served", fmt.Sprintf("etag=%016x,made=%d,note=%s,ttfb=3", made.UnixMilli(), made.UnixMilli(), note), body)
}

// copyFor finds the copy that answers a call, or fills it.
func (s *server) copyFor(c *Call) (made time.Time, note string, held bool) {
	s.mu.Lock()
	made, held = s.copies[c.Object]
	s.mu.Unlock()
	if held && (c.MaxAge == 0 || time.Since(made) <= c.MaxAge) {
		return made, "TCP_HIT", true
	}
	if c.Source == "" && s.kind != "origin" {
		return made, "", false
	}
	if s.draw() < 0.03 { // a fill that was under way, perhaps since before a purge
		return time.Now().Add(-time.Duration(s.draw() * float64(time.Second))), "TCP_JOIN", true
	}
	made = time.Now()
	time.Sleep(fillTime)
	s.mu.Lock()
	s.copies[c.Object] = made
	s.mu.Unlock()
	return made, "TCP_MISS", true
}

// writeAnswer writes an answer, whole or spoilt.
func (s *server) writeAnswer(c *Call, out *output, word, fields, body string) {
	s.waitWhileHung()
	s.h.locked(func() { c.Result = word })
	text := bulks(c.ID, word, fields, body)
	if s.isBefore(&s.malformUntil) {
		switch draw := s.draw(); {
		case draw < 0.1:
			text = []byte("?nonsense\r\n")
		case draw < 0.2:
			text = text[:len(text)/2]
			defer out.conn.Close() //nolint:errcheck // as in serve
		case draw < 0.25:
			text = text[:len(text)/2] // and the connection stays open
		case draw < 0.35:
			text = append(text, text...)
		}
	}
	out.write(text)
	s.h.Note(s.id, "answered %s %s serial=%d", c.ID, word, c.Serial)
}
