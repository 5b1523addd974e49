package proxy

// This file holds the admin server, an HTTP server for operators, with its connection limit and timeouts.

import (
	"errors"
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/http1"
)

const (
	// maxAdminConns is the maximum number of open admin connections. It is small because their descriptors are not
	// available to clients.
	maxAdminConns = 16
	// adminCallTimeout is the longest time that a connection may take from its accept to the end of the answer.
	adminCallTimeout = 2 * time.Second
	// adminCheckInterval is the time between checks for connections that exceed adminCallTimeout.
	adminCheckInterval = adminCallTimeout / 10
	// minAdminCallTime is the time for which a connection may stay open even if others wait to be accepted.
	minAdminCallTime = 50 * time.Millisecond
)

// errAdminCallTimeout is the reason for closing a connection whose call was not completed in time.
var errAdminCallTimeout = errors.New("call was not completed in time")

// AdminServer answers admin calls, the HTTP calls of operators, on a separate address. A connection carries one call.
type AdminServer struct {
	handler adminHandler
	loop    *eventloop.Loop
	conns   map[*adminConn]bool
}

// ensureCapacity reports whether one more connection can be accepted. If maxAdminConns are open, it closes the
// oldest, so that callers that send nothing don't block others. If none of them has been open for minAdminCallTime,
// it returns false and the new connection waits to be accepted.
func (a *AdminServer) ensureCapacity() bool {
	if len(a.conns) < maxAdminConns {
		return true
	}
	var oldest *adminConn
	for c := range a.conns {
		if c.age() >= minAdminCallTime && (oldest == nil || c.acceptedAt < oldest.acceptedAt) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	oldest.closeAtOnce()
	return true
}

// accept returns the handler of a new connection.
func (a *AdminServer) accept(conn *eventloop.Conn) eventloop.Handler {
	conn.SetGroup(eventloop.Operators)
	c := &adminConn{server: a, conn: conn, acceptedAt: a.loop.Now()}
	a.conns[c] = true
	return c
}

// closeOverdueConns closes the connections that have exceeded adminCallTimeout, and schedules the next check after
// adminCheckInterval.
func (a *AdminServer) closeOverdueConns() {
	for c := range a.conns {
		if c.age() > adminCallTimeout {
			c.closeAtOnce()
		}
	}
	a.loop.At(a.loop.Now()+adminCheckInterval, a.closeOverdueConns)
}

// adminConn is one admin connection.
type adminConn struct {
	server     *AdminServer
	conn       *eventloop.Conn
	acceptedAt eventloop.Timestamp
}

// age returns the time since the connection was accepted.
func (c *adminConn) age() time.Duration { return c.server.loop.Now() - c.acceptedAt }

// closeAtOnce closes the connection at once. It sends neither an answer nor the rest of a partly written one.
func (c *adminConn) closeAtOnce() {
	c.conn.Close()
	c.Closed(errAdminCallTimeout)
}

// Receive answers the call once it is complete, or once it is found to be malformed or too large. It discards all
// input after the call.
func (c *adminConn) Receive(data []byte) (used int, err error) {
	used, call, err := http1.Decode(data)
	switch {
	case errors.Is(err, http1.ErrTooLarge):
		c.respond(http1.Response{Status: 431}) // Request Header Fields Too Large
	case err != nil:
		c.respond(http1.Response{Status: statusBadRequest, Body: err.Error() + "\n"})
	case used > 0:
		c.respond(runAdminCall(c.server.handler, call))
	default:
		return 0, nil
	}
	return len(data), nil
}

// respond writes the answer and closes the connection after it has been sent.
func (c *adminConn) respond(r http1.Response) {
	c.conn.Write(http1.AppendResponse(nil, r))
	c.conn.CloseAfterFlush()
}

// Closed removes the connection from the server's open connections.
func (c *adminConn) Closed(error) { delete(c.server.conns, c) }
