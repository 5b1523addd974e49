package proxy

// This file names the reasons for which client connections are closed.

import (
	"errors"
	"io"

	"cloverdoor/internal/eventloop"
)

// closeReason says why a client connection was closed. It is a label value of the metric svc_conns_closed and a field of
// log messages.
type closeReason string

// The reasons for closing a client connection.
const (
	closedByClient      closeReason = "client_closed"   // the client closed it
	closedByReset       closeReason = "connection_lost" // it was reset, or a call on it failed
	closedIdle          closeReason = "idle"            // the client exceeded a timeout
	closedEvicted       closeReason = "evicted"         // to make room for another client
	closedStalled       closeReason = "output_not_read" // the client did not read its answers
	closedWithoutKeep   closeReason = "no_keep_conn"    // a request did not set KEEP_CONN
	closedProtocolError closeReason = "protocol_error"  // the client sent what can't be decoded
	closedHalfClose     closeReason = "half_closed"     // the client closed its sending side and has its answers
	closedDrained       closeReason = "drained"         // clients are to be disconnected, and nothing was left to do
	closedAtTimeLimit   closeReason = "time_limit"      // clients are to be disconnected, and the time for that was over
)

// reasonOfError returns the reason for a close that this process did not begin.
func reasonOfError(err error) closeReason {
	switch {
	case errors.Is(err, io.EOF):
		return closedByClient
	case errors.Is(err, errEvicted):
		return closedEvicted
	case errors.Is(err, eventloop.ErrWriteStalled), errors.Is(err, errMemoryLimit):
		return closedStalled
	}
	return closedByReset
}

// closeMessage returns the message of the log line. Closes by clients have a message of their own, as the number of
// lines with the same message is limited.
func closeMessage(reason closeReason) string {
	if reason == closedByClient || reason == closedByReset {
		return "client connection ended by client"
	}
	return "client connection closed"
}

// causeIsLogged reports whether a line with the cause is logged when the close begins.
func (r closeReason) causeIsLogged() bool {
	return r == closedIdle || r == closedEvicted || r == closedStalled
}
