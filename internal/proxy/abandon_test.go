package proxy

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"cloverdoor/internal/eventloop"
)

// Guards against client connections that are closed without a log line. They are closed if their output exceeds its
// limit, is not read in time, or is not read within the shorter time that applies while the memory budget is critical.
func TestStalledClientCloseIsLogged(t *testing.T) {
	for name, closeClient := range map[string]func(*proxyFixture, *clientConn){
		"output beyond the limit": func(_ *proxyFixture, c *clientConn) {
			c.conn.Write(make([]byte, 3*eventloop.MaxQueuedBytes)) // three times the limit, as the socket buffers take a part
		},
		"output not read in time": func(f *proxyFixture, c *clientConn) {
			c.conn.Write(make([]byte, eventloop.MaxQueuedBytes))
			f.loop.Flush()
			f.turn(t, connCheckInterval) // the bytes that fit into the client's socket buffer are acknowledged
			f.clock.now += writeStallTimeout + connCheckInterval
		},
		"lack of memory": func(f *proxyFixture, c *clientConn) {
			c.conn.Write(make([]byte, eventloop.MaxQueuedBytes))
			f.loop.Flush()
			f.turn(t, connCheckInterval)
			f.clock.now += criticalWriteStallTimeout + connCheckInterval
			if err := f.loop.Wait(0); err != nil {
				t.Fatal(err)
			}
			f.p.memory.rejectAt = 0
			c.relieveMemory()
		},
	} {
		f := newProxyFixture(t)
		server := f.p.fastcgiServers[0]
		var log bytes.Buffer
		server.log = slog.New(slog.NewTextHandler(&log, nil))
		f.turnUntil(t, func() bool { return len(server.conns) == 1 })
		for c := range server.conns {
			closeClient(f, c)
		}
		f.turnUntil(t, func() bool {
			f.loop.Flush()
			return len(server.conns) == 0
		})
		if lines := strings.Count(log.String(), "client connection closed, output not read"); lines != 1 {
			t.Errorf("%s: %d lines about the close in the log %q", name, lines, log.String())
		}
	}
}
