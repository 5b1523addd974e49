package proxy

// This file encodes answers for FastCGI clients.

import (
	"strconv"

	"cloverdoor/internal/fastcgi"
)

// responder writes the answer to one request of a FastCGI client.
type responder struct {
	conn *clientConn
	id   uint16 // the FastCGI request id
}

// responseOverheadBytes is the space allocated for headers and record framing in addition to an answer's body.
const responseOverheadBytes = 256

// PollClient implements Responder.
func (r *responder) PollClient() (caughtUp bool) { return r.conn.pollClient() }

// ClientDisconnected implements Responder.
func (r *responder) ClientDisconnected() DisconnectState { return r.conn.disconnectState() }

// Respond implements Responder.
func (r *responder) Respond(a Answer) {
	switch a.Status {
	case Served:
		r.write(fastcgi.Response{Status: statusOK, Headers: versionHeader(a.Version), Body: a.Body})
	case NotModified:
		headers := append(versionHeader(a.Version), [2]string{"X-Unchanged", "1"})
		r.write(fastcgi.Response{Status: statusOK, Headers: headers})
	case Rejected:
		r.write(fastcgi.Response{Status: statusServiceUnavailable, Headers: retryAfterHeader(a)})
	case Overloaded:
		r.conn.finishRequest(r.id, fastcgi.AppendEnd(nil, r.id, 0, fastcgi.StatusOverloaded))
	default:
		r.write(fastcgi.Response{Status: statusBadGateway})
	}
}

// maxErrorBytes is the number of bytes of an error's text that a client is sent. It may quote what the client has sent.
const maxErrorBytes = 200

// writeError answers with a status and the beginning of the error's text.
func (r *responder) writeError(status int, err error) {
	text := err.Error()
	r.write(fastcgi.Response{Status: status, Body: []byte(text[:min(len(text), maxErrorBytes)] + "\n")})
}

// write writes a response, unless the connection has ended or has to be closed for lack of memory.
func (r *responder) write(response fastcgi.Response) {
	if r.conn.conn.Ended() {
		return
	}
	r.conn.relieveMemory()
	if r.conn.conn.Ended() {
		return
	}
	buffer := make([]byte, 0, len(response.Body)+responseOverheadBytes)
	r.conn.finishRequest(r.id, fastcgi.AppendResponse(buffer, r.id, response))
}

// versionHeader returns the header with the served copy's version; none if the version is not 16 hex digits.
func versionHeader(version string) [][2]string {
	if !isHexID(version) {
		return nil
	}
	return [][2]string{{"X-Ver", version}}
}

// retryAfterHeader returns the header that says how many milliseconds the client should wait before a retry;
// none if the answer gives no advice.
func retryAfterHeader(a Answer) [][2]string {
	millis := a.RetryAfter.Milliseconds()
	if millis <= 0 {
		return nil
	}
	return [][2]string{{"Srv-Wait-Ms", strconv.FormatInt(millis, 10)}}
}
