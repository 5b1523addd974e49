// Package fastcgi is the codec of the client side: FastCGI 1.0 in the Responder role. It decodes bytes into
// requests and encodes answers; it touches no socket and keeps no more than its limits allow.
package fastcgi

import (
	"errors"
)

// Record types, roles and flags of FastCGI 1.0.
const (
	version       = 1
	typeBegin     = 1
	typeAbort     = 2
	typeEnd       = 3
	typeParams    = 4
	typeStdin     = 5
	typeStdout    = 6
	typeData      = 8
	typeGetValues = 9
	typeGetResult = 10
	typeUnknown   = 11
	roleResponder = 1
	flagKeepConn  = 1
	headerLen     = 8
	maxContent    = 65535
)

// Limits of one connection.
const (
	maxOpen   = 40       // requests being received or answered; the protocol page says clients keep to 32
	maxParams = 16 << 10 // bytes of one request's parameters
	maxBody   = 64 << 10 // bytes of one request's body; one write brings 48,000 at most
)

// ProtocolStatus is the protocol's own verdict in END_REQUEST.
type ProtocolStatus uint8

// Protocol statuses.
const (
	Complete      ProtocolStatus = 0
	CantMultiplex ProtocolStatus = 1
	Overloaded    ProtocolStatus = 2
	UnknownRole   ProtocolStatus = 3
)

// Errors after which nothing more can be read from a connection.
var (
	ErrVersion = errors.New("fastcgi: not version 1")
	ErrRecord  = errors.New("fastcgi: malformed record")
)

func appendHeader(dst []byte, kind byte, id uint16, length int) []byte {
	return append(dst, version, kind, byte(id>>8), byte(id), byte(length>>8), byte(length), 0, 0)
}
