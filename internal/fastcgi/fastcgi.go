// Package fastcgi is the codec for connections from clients, which speak FastCGI 1.0 in the Responder role. It
// decodes the bytes of a connection into requests and encodes responses. It does no I/O and buffers no more
// than its limits allow.
//
// A connection carries records: a header of 8 bytes (version, type, request ID, content length, padding
// length), the content and the padding. A request is a BEGIN_REQUEST record, PARAMS records with name-value
// pairs up to an empty one, and STDIN records with the body up to an empty one. A response is STDOUT records
// up to an empty one, then END_REQUEST. Requests of one connection may be interleaved; the request ID tells
// them apart.
package fastcgi

import "errors"

// Record types.
const (
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
)

const (
	version       = 1
	roleResponder = 1
	flagKeepConn  = 1 // the client keeps the connection open after the response

	headerBytes       = 8
	beginContentBytes = 8 // role, flags and reserved bytes
	maxContentBytes   = 65535
)

// Limits of a connection and of a request.
const (
	maxRequests   = 40       // a connection's requests that are being received or answered; clients use at most 32
	maxParamBytes = 16 << 10 // a request's encoded parameters
	maxBodyBytes  = 64 << 10 // a request's body; a write has at most 48,000 bytes
)

// ProtocolStatus is the protocol's own result of a request, carried by END_REQUEST.
type ProtocolStatus uint8

// Protocol statuses in use. Status 1 is not in use: it is for a server that handles one request per connection.
const (
	StatusComplete    ProtocolStatus = 0 // the request was processed
	StatusOverloaded  ProtocolStatus = 2 // the server rejects the request for lack of capacity
	StatusUnknownRole ProtocolStatus = 3 // the request's role is not supported
)

// applicationAborted is the application status in the END_REQUEST of a request that the client aborted.
const applicationAborted = 1

// Errors of Decode, after which nothing more can be decoded from the connection.
var (
	ErrVersion = errors.New("fastcgi: protocol version is not 1")
	ErrRecord  = errors.New("fastcgi: malformed record")
)

// appendHeader appends the header of a record without padding.
func appendHeader(dst []byte, recordType byte, id uint16, contentBytes int) []byte {
	return append(dst, version, recordType, byte(id>>8), byte(id), byte(contentBytes>>8), byte(contentBytes), 0, 0)
}
