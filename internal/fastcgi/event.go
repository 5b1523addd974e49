package fastcgi

import "errors"

// Event is the result of decoding a record: a *Request, Rejected, Abort or Reply.
type Event interface{ isEvent() }

// Request is a complete request.
type Request struct {
	ID       uint16 // unique among the connection's requests in progress
	KeepConn bool   // the connection stays open after the response
	Script   string // SCRIPT_NAME
	Params   Params // by their CGI names, unchanged
	Body     []byte
}

// requestOverheadBytes is the memory that a request takes beside its parameters and its body.
const requestOverheadBytes = 256

// MemoryBytes returns how many bytes of memory the request takes.
func (r *Request) MemoryBytes() int {
	return requestOverheadBytes + len(r.Script) + cap(r.Params) + cap(r.Body)
}

// Rejected is a request that exceeds a limit on its parameters or body, or that has parameters after the empty
// PARAMS record. The rest of the request is skipped; the connection continues.
type Rejected struct {
	ID       uint16
	KeepConn bool
	Err      error // always ErrTooLarge
}

// Abort says that the client has aborted a request that it had sent completely.
type Abort struct{ ID uint16 }

// Reply is an answer to a record that the codec itself handles, as the protocol requires.
type Reply struct {
	Data  []byte // to be sent to the client
	Close bool   // the connection is to be closed afterwards, as the client did not set KEEP_CONN
}

func (*Request) isEvent() {}
func (Rejected) isEvent() {}
func (Abort) isEvent()    {}
func (Reply) isEvent()    {}

// ErrTooLarge is the error of a rejected request. Its text is sent to the client.
var ErrTooLarge = errors.New("fastcgi: request exceeds its limit")
