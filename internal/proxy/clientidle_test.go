package proxy

import (
	"encoding/binary"
	"testing"
	"time"
)

// strayRecord returns a STDIN record for a request that the client has not begun: the protocol has it ignored.
func strayRecord() []byte {
	stray := record(5, "x")
	binary.BigEndian.PutUint16(stray[2:], 77)
	return stray
}

// valuesQuery returns a GET_VALUES record, which asks for the program's limits.
func valuesQuery() []byte {
	query := record(9, "\x0e\x00FCGI_MAX_CONNS")
	binary.BigEndian.PutUint16(query[2:], 0)
	return query
}

// Guards against a client that is never idle because it sends without end what is no request: its connection is closed as
// idle, and can be evicted for another client, as if it sent nothing.
func TestInputThatIsNoRequestDoesNotKeepAConnection(t *testing.T) {
	for name, input := range map[string][]byte{"ignored records": strayRecord(), "queries": valuesQuery()} {
		const sendInterval = 5 * time.Millisecond
		f := newProxyFixture(t)
		c := f.soleConn(t)
		f.answerAtOnce(t, c, 0)
		f.awaitDelivery(t, c)
		start := f.clock.now
		for !c.conn.Ended() && f.clock.now-start < 2*idleTimeout {
			if _, err := f.client.Write(input); err != nil {
				t.Fatal(err)
			}
			f.turn(t, sendInterval)
		}
		if open := f.clock.now - start; !c.conn.Ended() || open > idleTimeout+time.Second {
			t.Errorf("%s: closed: %v, after %v, want closed within about %v", name, c.conn.Ended(), open, idleTimeout)
		}
	}
	f := newProxyFixture(t)
	c := f.soleConn(t)
	for range 30 {
		if _, err := f.client.Write(strayRecord()); err != nil {
			t.Fatal(err)
		}
		f.turn(t, 5*time.Millisecond)
	}
	if !c.server.evictIdleClient() {
		t.Error("the client can't be evicted though it has sent no request")
	}
}
