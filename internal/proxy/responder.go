package proxy

import (
	"strconv"

	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/fastcgi"
)

// responder takes one answer to its client.
type responder struct {
	conn *clientConn
	id   uint16
}

// PollClient reads what has come since the turn began.
func (r *responder) PollClient() { r.conn.pollClient() }

// ClientDisconnected tells since when the client may have left.
func (r *responder) ClientDisconnected() (since eventloop.Timestamp, long bool) {
	c := r.conn
	if c.cancelAt == 0 {
		return 0, false
	}
	return max(1, c.cancelAt-disconnectGrace), c.isDisconnected()
}

// Respond encodes the answer.
func (r *responder) Respond(a Answer) {
	switch a.Status {
	case Served:
		r.write(fastcgi.Response{Status: 200, Headers: tagHeader(a.Version), Body: a.Body})
	case NotModified:
		r.write(fastcgi.Response{Status: 200, Headers: append(tagHeader(a.Version), [2]string{"X-Unchanged", "1"})})
	case Rejected:
		var headers [][2]string
		if ms := a.RetryAfter.Milliseconds(); ms > 0 {
			headers = [][2]string{{"Srv-Wait-Ms", strconv.FormatInt(ms, 10)}}
		}
		r.write(fastcgi.Response{Status: 503, Headers: headers})
	case Overloaded:
		r.conn.finishRequest(r.id, fastcgi.AppendEnd(nil, r.id, 0, fastcgi.Overloaded))
	default:
		r.write(fastcgi.Response{Status: 502})
	}
}

func (r *responder) write(resp fastcgi.Response) {
	if r.conn.conn.Ended() {
		return
	}
	if r.conn.relieveMemory(); r.conn.conn.Ended() {
		return
	}
	r.conn.finishRequest(r.id, fastcgi.AppendResponse(make([]byte, 0, len(resp.Body)+256), r.id, resp))
}

func tagHeader(tag string) [][2]string {
	if !isHex(tag) {
		return nil
	}
	return [][2]string{{"X-Ver", tag}}
}
