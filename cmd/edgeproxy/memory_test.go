package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// hoarder is a client that sends parts of requests and then nothing more.
type hoarder struct {
	name    string
	clients int
	part    func(c *client, id uint16) // writes a part of the request with that id
	slowly  bool                       // it writes in pieces of slowPieceBytes, one every slowPieceInterval
}

const (
	requestsPerHoarder = 32
	slowPieceBytes     = 4 << 10
	slowPieceInterval  = 2 * time.Millisecond
	hoardingClients    = testSockets / 3 // the most that clients hold, by the protocol
)

// hoarders returns the kinds of clients that make the program hold what they send.
func hoarders() []hoarder {
	var shortParams []byte
	for n := range 4000 {
		shortParams = append(shortParams, 2, 0, byte('!'+n%90), byte('!'+n/90))
	}
	begin := func(c *client, id uint16) { c.writeRecord(recordBegin, id, beginKeepConn) }
	shortFields := func(c *client, id uint16) {
		begin(c, id)
		c.writeRecord(recordParams, id, string(shortParams))
	}
	halfBody := func(c *client, id uint16) {
		begin(c, id)
		c.writeRecord(recordParams, id, "")
		c.writeRecord(recordStdin, id, strings.Repeat("x", 40_000))
	}
	return []hoarder{
		{"many short fields", hoardingClients, shortFields, false},
		{"many short fields, ended", hoardingClients, func(c *client, id uint16) {
			shortFields(c, id)
			c.writeRecord(recordParams, id, "")
		}, false},
		{"half of a large body", hoardingClients, halfBody, false},
		{"half of a large body, written slowly", hoardingClients, halfBody, true},
		{"a body in small records", hoardingClients, func(c *client, id uint16) {
			begin(c, id)
			for range 600 {
				c.writeRecord(recordStdin, id, strings.Repeat("x", 30))
			}
		}, false},
		{"records that never end", hoardingClients, func(c *client, id uint16) {
			begin(c, id)
			c.Write([]byte{1, recordStdin, byte(id >> 8), byte(id), 0xff, 0xff, 0, 0}) //nolint:errcheck // the program may have closed it
			c.Write(make([]byte, 60_000))                                              //nolint:errcheck // as above
		}, false},
	}
}

// startHoarder connects a client of the kind, which closes its connection at the end of the test.
func (env *testEnv) startHoarder(h hoarder) {
	env.t.Helper()
	conn, err := net.Dial("tcp", env.addr)
	if err != nil {
		return // the program was killed, which the test notices
	}
	env.t.Cleanup(func() { conn.Close() }) //nolint:errcheck // the program may have closed it
	newClient(conn)                        // it reads what it is sent
	out := &bufferedConn{Conn: conn}
	for id := range uint16(requestsPerHoarder) {
		h.part(&client{Conn: out}, id+1)
	}
	go func() {
		if !h.slowly {
			out.flush()
			return
		}
		for data := out.buffer; len(data) > 0; time.Sleep(slowPieceInterval) {
			n := min(len(data), slowPieceBytes)
			if _, err := conn.Write(data[:n]); err != nil {
				return
			}
			data = data[n:]
		}
	}()
}

// residentPeakKB returns the peak of the program's resident memory, in KB; 0 if it has ended.
func (env *testEnv) residentPeakKB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", env.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, peak, found := strings.Cut(string(status), "VmHWM:")
	if !found {
		return 0
	}
	kb, _ := strconv.Atoi(strings.Fields(peak)[0])
	return kb
}

// Guards against clients that make the program pass its memory limit with requests that they never end (review/8): with
// many short fields, these took some twenty times the memory of what was sent, and counted in no budget. Other clients'
// requests are answered meanwhile.
func TestHalfRequestsStayWithinTheMemoryLimit(t *testing.T) {
	const length = time.Second
	for _, memoryMB := range []int{32, 192} {
		for _, h := range hoarders() {
			t.Run(fmt.Sprintf("%d MB, %s", memoryMB, h.name), func(t *testing.T) {
				env := newTestEnv(t)
				env.memoryMB = memoryMB
				env.startWith(env.cache.Addr(), env.origin.Addr())
				env.cache.answerAll("served", "-", "fine")
				before := env.residentPeakKB()
				for range h.clients {
					env.startHoarder(h)
				}
				served := env.checkAnswersInTime(length)
				peak := env.residentPeakKB()
				t.Logf("%d requests served; peak of resident memory %d KB, %d KB before", served, peak, before)
				if peak == 0 || peak > memoryMB<<10 {
					t.Errorf("peak of resident memory %d KB, want at most %d KB", peak, memoryMB<<10)
				}
			})
		}
	}
}
