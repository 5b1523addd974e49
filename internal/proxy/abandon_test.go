package proxy

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"cloverdoor/internal/eventloop"
)

// Guards against client connections that are closed without a line in the log: for output beyond its limit, for
// output that is not read in time, and for lack of memory.
func TestAbandonedClientsAreLogged(t *testing.T) {
	for name, abandon := range map[string]func(*longTurn, *clientConn){
		"output beyond the limit": func(_ *longTurn, c *clientConn) {
			c.conn.Write(make([]byte, 3*eventloop.MaxQueuedBytes)) // the sockets hold a part of it
		},
		"output not read in time": func(l *longTurn, c *clientConn) {
			c.conn.Write(make([]byte, eventloop.MaxQueuedBytes))
			l.loop.Flush()
			l.clock.now += writeStallTimeout + connCheckInterval
		},
		"lack of memory": func(l *longTurn, c *clientConn) {
			c.conn.Write(make([]byte, eventloop.MaxQueuedBytes))
			l.loop.Flush()
			l.clock.now += criticalWriteStallTimeout + connCheckInterval
			if err := l.loop.Wait(0); err != nil {
				t.Fatal(err)
			}
			l.p.memory.rejectAt = 0
			c.relieveMemory()
		},
	} {
		l := newLongTurn(t)
		server := l.p.fastcgiServers[0]
		var log bytes.Buffer
		server.log = slog.New(slog.NewTextHandler(&log, nil))
		l.turnUntil(t, func() bool { return len(server.conns) == 1 })
		for c := range server.conns {
			abandon(l, c)
		}
		l.turnUntil(t, func() bool {
			l.loop.Flush()
			return len(server.conns) == 0
		})
		if lines := strings.Count(log.String(), "client connection closed, output not read"); lines != 1 {
			t.Errorf("%s: %d lines in %q", name, lines, log.String())
		}
	}
}
