// Package resp is the codec for connections to caches, parents and the origin: it encodes calls and decodes
// their answers. It does no I/O.
//
// Both directions carry RESP arrays of bulk strings. A call is "REQ", the request's ID, fields and the body;
// "STOP" and the ID cancel a call. An answer is the ID, a status, fields and the body. Fields are name=value
// pairs joined by commas, "-" if there are none. The names and values on the wire are those of the upstream
// protocol; this package alone maps them to the terms that the rest of the program uses.
package resp

import "errors"

// ErrMalformed says that received bytes are not an answer; nothing more can be decoded from the connection.
var ErrMalformed = errors.New("resp: malformed answer")
