package fastcgi

import "errors"

// Request is one whole request.
type Request struct {
	ID       uint16
	KeepConn bool
	Script   string            // SCRIPT_NAME
	Params   map[string]string // as sent, under their CGI names
	Body     []byte
}

// Event is what a connection's bytes meant: *Request, Rejected, Abort or Reply.
type Event interface{}

// Rejected is a request that breaks a limit of its own. The rest of it is passed over; the connection goes on.
type Rejected struct {
	ID       uint16
	KeepConn bool
	Err      error
}

// Abort says that the client has given up a request.
type Abort struct{ ID uint16 }

// Reply is bytes that the protocol itself owes the client, with no request for the application behind them.
type Reply struct {
	Data  []byte
	Close bool // the client asked for the connection to be closed after this
}

// ErrTooLarge says why a request was rejected.
var ErrTooLarge = errors.New("fastcgi: request exceeds its limit")
