package eventloop

// Handler receives the input and the end of one connection. Its methods run on the loop's goroutine and must
// not block.
type Handler interface {
	// Receive is passed all input that has not been consumed yet and returns how many bytes it consumes now.
	// The rest is buffered and passed again, together with what arrives next. data is valid during the call
	// only. An error closes the connection.
	Receive(data []byte) (used int, err error)
	// Closed is called once, when the connection ends for any reason but a call of Close. err is io.EOF when
	// the peer closed it gracefully, or when CloseAfterFlush has completed.
	Closed(err error)
}

// HalfCloser is a Handler that supports peers which shut down their sending side and still expect output. After
// CloseAfterFlush neither PeerClosing nor PeerClosed is called.
type HalfCloser interface {
	Handler
	// PeerClosing is called once, when the loop notices that the peer has shut down its sending side. Input
	// from before the shutdown may still be unread. The shutdown took place after the given time; 0: unknown.
	PeerClosing(closedAfter Timestamp)
	// PeerClosed is called once, when all input from before the shutdown has been passed to Receive. It
	// reports whether output for the peer is pending: the connection then stays open until the handler closes
	// it, once all of the output is written. Otherwise the loop closes the connection at once.
	PeerClosed() (outputPending bool)
}

// Message is output that is encoded only when its first byte is about to be written, so that until then its
// contents may change or it may be dropped. Its methods run on the loop's goroutine and must not block.
// Encode may queue output on the connection or close it; Started and Written must do neither.
type Message interface {
	// Encode returns the bytes, or false when the message must not be sent any more. It is called again when
	// the peer accepted no byte of the message.
	Encode() ([]byte, bool)
	// Started is called once, when the first byte has been written. complete reports whether the last one has
	// been written too.
	Started(complete bool)
	// Written is called once, when the last byte has been written.
	Written()
}
