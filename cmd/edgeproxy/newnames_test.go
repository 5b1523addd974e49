package main

import (
	"fmt"
	"io"
	"maps"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"
)

// newNames returns what one client sends on one connection, under names that are new each time: the names of classes,
// objects, groups, parameters, variables and requests.
func newNames() map[string]func(c *client, n int) {
	request := func(c *client, n int, changes map[string]string) {
		params := map[string]string{"SCRIPT_NAME": "/ops/artes", "HTTP_REQ_ID": fmt.Sprintf("%016x", n+1<<40),
			"HTTP_REQ_WAIT_MS": "1500", "HTTP_REQ_KEY": "00000000000000ff", "HTTP_X_PIECE": "3", "HTTP_X_LOT": "17"}
		maps.Copy(params, changes)
		c.writeRequest(uint16(n%30+1), params, "")
	}
	name := func(n int) string { return fmt.Sprintf("%s%d", strings.Repeat("n", 100), n) }
	return map[string]func(c *client, n int){
		"classes":    func(c *client, n int) { request(c, n, map[string]string{"SCRIPT_NAME": "/ops/" + name(n)}) },
		"objects":    func(c *client, n int) { request(c, n, map[string]string{"HTTP_REQ_KEY": fmt.Sprintf("%016x", n)}) },
		"writes":     func(c *client, n int) { request(c, n, map[string]string{"SCRIPT_NAME": "/ops/registro"}) },
		"parts":      func(c *client, n int) { request(c, n, map[string]string{"HTTP_X_PIECE": strconv.Itoa(n)}) },
		"tokens":     func(c *client, n int) { request(c, n, map[string]string{"HTTP_REQ_TOKEN": fmt.Sprintf("t%063d", n)}) },
		"parameters": func(c *client, n int) { request(c, n, map[string]string{name(n): name(n)}) },
		"variables": func(c *client, n int) {
			pair := append([]byte{byte(len(name(n))), 0}, name(n)...)
			c.writeRecord(9, 0, string(pair))
		},
		"record types":   func(c *client, n int) { c.writeRecord(byte(100+n%100), 0, name(n)) },
		"FastCGI ids":    func(c *client, n int) { c.writeRecord(recordBegin, uint16(n%65535+1), beginKeepConn) },
		"unsound params": func(c *client, n int) { c.writeRecord(recordBegin, 1, beginKeepConn[:n%8]) },
	}
}

// Guards against a table, a label or a log that grows with the names that clients send (reported from other deployments): one client that sends
// under new names at full speed on one connection, and connects anew when it is closed, keeps nobody from an answer, and
// neither the memory nor the metrics grow without end.
func TestNewNamesAreNotKept(t *testing.T) {
	const (
		warmUp, length    = 500 * time.Millisecond, 2 * time.Second
		growthLimitKB     = 24 << 10 // a heap of this size may wait for the garbage collector
		metricsLimit      = 4 << 10  // bytes
		requestsPerBuffer = 200
	)
	for name, write := range newNames() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			env.classDeadline = 1500 * time.Millisecond
			env.startWith(env.cache.Addr(), env.origin.Addr())
			for _, server := range []*fakeServer{env.cache, env.origin} {
				server.answerAll("served", "-", "fine")
				go discardAll(server.stops)
			}
			end := time.Now().Add(warmUp + length)
			go func() {
				for n := 0; time.Now().Before(end); {
					conn, err := net.Dial("tcp", env.addr)
					if err != nil {
						return
					}
					go io.Copy(io.Discard, conn) //nolint:errcheck // until the connection ends
					conn.SetWriteDeadline(end)   //nolint:errcheck // a connection supports it
					for err == nil {
						out := &bufferedConn{Conn: conn}
						for range requestsPerBuffer {
							write(&client{Conn: out}, n)
							n++
						}
						_, err = conn.Write(out.buffer)
					}
					conn.Close() //nolint:errcheck // the program may have closed it
				}
			}()
			time.Sleep(warmUp)
			before := env.residentPeakKB()
			served := env.checkAnswersInTime(length)
			growth := env.residentPeakKB() - before
			_, metrics := env.adminCall("GET", "/ops/stats")
			t.Logf("%d requests served; the peak of the memory grew by %d KB, the metrics have %d bytes", served, growth, len(metrics))
			if growth > growthLimitKB || len(metrics) > metricsLimit {
				t.Errorf("the peak of the memory grew by %d KB, the metrics have %d bytes", growth, len(metrics))
			}
		})
	}
}
