package eventloop

// Handler owns a connection.
type Handler interface {
	// Receive takes what has come in and not been used yet, and returns how much of it is used now. It is
	// called again when more has come. An error closes the connection.
	Receive(data []byte) (used int, err error)
	// Closed is called once, when the connection has ended for any reason but Close. err is io.EOF when the
	// peer closed it in good order.
	Closed(err error)
}

// HalfCloser is a handler whose peer may end its own side first. It hears of that ahead of input that has not been
// read yet: by the time all is read, the peer may have been gone for long.
type HalfCloser interface {
	Handler
	// PeerClosing is called once, when the peer is seen to send no more. It did so after the given time; 0: not known.
	PeerClosing(after Timestamp)
	// PeerClosed is called once, when all that the peer sent has been handed over. It says whether output is still
	// owed: the handler then closes the connection itself when it is not any more.
	PeerClosed() (owed bool)
}
