package main

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"testing"
	"time"
)

// flood is what a client sends over and over again, as fast as it can. It reads all that it is sent.
type flood struct {
	name    string
	clients int
	message []byte
}

// encodeRecords returns what write writes to a client.
func encodeRecords(write func(c *client)) []byte {
	out := &bufferedConn{}
	write(&client{Conn: out})
	return out.buffer
}

// repeatedRequest encodes complete requests with the given parameters, under changing FastCGI ids.
func repeatedRequest(count int, params func(n int) map[string]string) []byte {
	const idCount = 30
	return encodeRecords(func(c *client) {
		for n := range count {
			c.writeRequest(uint16(n%idCount+1), params(n), "")
		}
	})
}

// floods returns the habits of clients that send without a pause.
func floods() []flood {
	const requestsPerMessage = 500
	usable := func(n int) map[string]string {
		return map[string]string{"SCRIPT_NAME": "/ops/artes", "HTTP_REQ_ID": fmt.Sprintf("%016x", time.Now().UnixNano()+int64(n)),
			"HTTP_REQ_WAIT_MS": "1500", "HTTP_REQ_KEY": fmt.Sprintf("%016x", n), "HTTP_X_PIECE": "3", "HTTP_X_LOT": "17"}
	}
	without := func(names ...string) func(int) map[string]string {
		return func(n int) map[string]string {
			params := usable(n)
			for _, name := range names {
				delete(params, name)
			}
			return params
		}
	}
	unknownClass := func(n int) map[string]string {
		params := usable(n)
		params["SCRIPT_NAME"] = "/ops/class" + strconv.Itoa(n)
		return params
	}
	abortedRequests := encodeRecords(func(c *client) {
		for n := range requestsPerMessage {
			c.writeRequest(uint16(n%30+1), usable(n), "")
			c.writeRecord(recordAbort, uint16(n%30+1), "")
		}
	})
	abandonedRequests := encodeRecords(func(c *client) {
		for n := range requestsPerMessage {
			c.writeRecord(recordBegin, uint16(n%30+1), beginKeepConn)
			c.writeRecord(recordAbort, uint16(n%30+1), "")
		}
	})
	unknownRecords := encodeRecords(func(c *client) {
		for n := range requestsPerMessage {
			c.writeRecord(recordStdin, uint16(n%30+100), "x")
		}
	})
	return []flood{
		{"requests without an id, 60 clients", 60, repeatedRequest(requestsPerMessage, without("HTTP_REQ_ID"))},
		{"requests without an id, 300 clients", 300, repeatedRequest(requestsPerMessage, without("HTTP_REQ_ID"))},
		{"requests without parameters, 10 clients", 10, repeatedRequest(requestsPerMessage, func(int) map[string]string { return nil })},
		{"unknown classes, 100 clients", 100, repeatedRequest(requestsPerMessage, unknownClass)},
		{"health checks, 100 clients", 100, repeatedRequest(requestsPerMessage, func(int) map[string]string {
			return map[string]string{"SCRIPT_NAME": "/alive"}
		})},
		{"requests that are aborted, 60 clients", 60, abortedRequests},
		{"requests that are abandoned, 300 clients", 300, abandonedRequests},
		{"records of unknown requests, 300 clients", 300, unknownRecords},
		{"requests that can be served, 60 clients", 60, repeatedRequest(30, usable)},
		{"requests that can be served, 300 clients", 300, repeatedRequest(30, usable)},
	}
}

// startFlood connects the clients and has them send until end.
func (env *testEnv) startFlood(f flood, end time.Time) {
	env.t.Helper()
	for range f.clients {
		conn, err := net.Dial("tcp", env.addr)
		if err != nil {
			env.t.Fatal(err)
		}
		go io.Copy(io.Discard, conn) //nolint:errcheck // until the connection ends
		go func() {
			defer conn.Close()         //nolint:errcheck // the program may have closed it
			conn.SetWriteDeadline(end) //nolint:errcheck // a connection supports it
			for time.Now().Before(end) {
				if _, err := conn.Write(f.message); err != nil {
					return
				}
			}
		}()
	}
}

// Guards against clients that send without a pause and so keep others, and operators, from their answers (review/7): in
// one turn of the event loop each of them had up to 2 MiB of requests answered.
func TestFloodHoldsUpNoOtherClient(t *testing.T) {
	const floodTime = 1500 * time.Millisecond
	for _, f := range floods() {
		t.Run(f.name, func(t *testing.T) {
			env := newTestEnv(t)
			env.classDeadline = 1500 * time.Millisecond
			env.startWith(env.cache.Addr(), env.origin.Addr())
			env.cache.answerAll("served", "-", "fine")
			env.origin.answerAll("served", "-", "fine")
			go discardAll(env.cache.stops)
			go discardAll(env.origin.stops)
			env.startFlood(f, time.Now().Add(floodTime))
			slowestCall := env.startOperatorCalls(floodTime)
			served := env.checkAnswersInTime(floodTime)
			const operatorLimit = time.Second
			slowest := receive(t, slowestCall, "the operator's calls")
			if slowest > operatorLimit {
				t.Errorf("an operator's call took %v, want at most %v", slowest, operatorLimit)
			}
			t.Logf("%d requests served, the slowest operator's call took %v", served, slowest)
			env.checkMemory()
		})
	}
}

// startOperatorCalls asks for the metrics every 0.1 s for a time, and then sends how long the slowest call took.
func (env *testEnv) startOperatorCalls(length time.Duration) <-chan time.Duration {
	slowest := make(chan time.Duration, 1)
	go func() {
		longest := time.Duration(0)
		for start := time.Now(); time.Since(start) < length; time.Sleep(100 * time.Millisecond) {
			calledAt := time.Now()
			env.adminCall("GET", "/ops/stats")
			longest = max(longest, time.Since(calledAt))
		}
		slowest <- longest
	}()
	return slowest
}

// Guards against clients and callers that connect without a pause and so keep others from their answers (review/7).
func TestConnectionFloodHoldsUpNoOtherClient(t *testing.T) {
	const floodTime, floodingClients = 1500 * time.Millisecond, 30
	request := repeatedRequest(1, func(int) map[string]string { return map[string]string{"SCRIPT_NAME": "/ops/artes"} })
	const call = "GET /ops/stats HTTP/1.1\r\nHost: proxy\r\n\r\n"
	for _, f := range []struct {
		name    string
		admin   bool
		message []byte
	}{
		{"clients that say nothing", false, nil},
		{"clients with a request that can't be used", false, request},
		{"callers that say nothing", true, nil},
		{"callers that ask for the metrics", true, []byte(call)},
	} {
		t.Run(f.name, func(t *testing.T) {
			env := startTestEnv(t)
			env.cache.answerAll("served", "-", "fine")
			addr := env.addr
			if f.admin {
				addr = env.adminAddr
			}
			end := time.Now().Add(floodTime)
			for range floodingClients {
				go connectRepeatedly(addr, f.message, end)
			}
			served := env.checkAnswersInTime(floodTime)
			if served == 0 {
				t.Error("no request was served")
			}
		})
	}
}

// connectRepeatedly connects, writes the message, reads for an instant and closes, over and over again until end.
func connectRepeatedly(addr string, message []byte, end time.Time) {
	const readTime = time.Millisecond
	for time.Now().Before(end) {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			continue
		}
		conn.Write(message)                               //nolint:errcheck // the program may have closed it
		conn.SetReadDeadline(time.Now().Add(readTime))    //nolint:errcheck // a connection supports it
		io.CopyN(io.Discard, conn, int64(readBufferSize)) //nolint:errcheck // it ends with the time
		conn.Close()                                      //nolint:errcheck // the program may have closed it
	}
}

// readBufferSize is the most that connectRepeatedly reads on a connection.
const readBufferSize = 4 << 10

// Guards against clients that ask again as soon as they are answered and so keep new ones out for as long as they like
// (review/9): they hold all places, and none of them is ever idle for long.
func TestClientsThatAskAgainMakeRoom(t *testing.T) {
	const (
		sockets        = 256
		clients, pause = 130, 20 * time.Millisecond // more than the program accepts
		length         = 4 * time.Second            // longer than a new client waits
		dialInterval   = 50 * time.Millisecond
	)
	for name, params := range map[string]map[string]string{
		"requests that can't be used": {"SCRIPT_NAME": "/ops/nothing"},
		"requests that can be used": {"SCRIPT_NAME": "/ops/artes", "HTTP_REQ_ID": "18ee8a2be1f6a125", "HTTP_REQ_WAIT_MS": "1500",
			"HTTP_REQ_KEY": "00000000000000ff", "HTTP_X_PIECE": "3", "HTTP_X_LOT": "17"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			env.sockets = sockets
			env.classDeadline = 1500 * time.Millisecond
			env.startWith(env.cache.Addr(), env.origin.Addr())
			env.cache.answerAll("served", "-", "fine")
			go discardAll(env.cache.stops)
			end := time.Now().Add(length)
			for range clients {
				go askAgain(env.addr, params, pause, end)
			}
			time.Sleep(length / 10) // until they hold all places
			for time.Now().Before(end) {
				c := env.dial()
				sentAt := time.Now()
				c.request(1, "artes", 1500, 1, "")
				select {
				case a := <-c.answers:
					if a.id == 0 {
						t.Errorf("a new connection was closed without an answer after %v", time.Since(sentAt))
					}
				case <-time.After(1500*time.Millisecond + lateAnswer):
					t.Errorf("a request on a new connection got no answer in time")
				}
				time.Sleep(dialInterval)
			}
		})
	}
}

// askAgain connects and sends a request, and the same again a pause after each answer, until end or until its connection is
// closed.
func askAgain(addr string, params map[string]string, pause time.Duration, end time.Time) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer conn.Close() //nolint:errcheck // the program may have closed it
	c := newClient(conn)
	for time.Now().Before(end) {
		c.writeRequest(1, params, "")
		if a := <-c.answers; a.id == 0 {
			return
		}
		time.Sleep(pause)
	}
}
