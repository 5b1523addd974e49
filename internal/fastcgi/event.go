package fastcgi

import "errors"

// Event is what a record completed: a *Request, Rejected, Abort or Reply.
type Event interface{ isEvent() }

// Request is one complete request.
type Request struct {
	ID       uint16            // unique among the connection's requests in progress
	KeepConn bool              // the connection stays open after the response
	Script   string            // SCRIPT_NAME
	Params   map[string]string // by their CGI names, unchanged
	Body     []byte
}

// Rejected is a request that exceeds a limit of its own. The rest of it is skipped; the connection continues.
type Rejected struct {
	ID       uint16
	KeepConn bool
	Err      error
}

// Abort says that the client has aborted a request that it sent completely.
type Abort struct{ ID uint16 }

// Reply is bytes that the protocol itself requires to be sent to the client; no request for the application
// is involved.
type Reply struct {
	Data  []byte
	Close bool // the connection is to be closed afterwards, as the client did not set KEEP_CONN
}

func (*Request) isEvent() {}
func (Rejected) isEvent() {}
func (Abort) isEvent()    {}
func (Reply) isEvent()    {}

// ErrTooLarge is the reason of Rejected.
var ErrTooLarge = errors.New("fastcgi: request exceeds its limit")
