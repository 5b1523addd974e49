package main

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"os"
	"testing"
)

// closeOnce closes c, which may be closed already. Any other error fails the test.
func closeOnce(tb testing.TB, c io.Closer) {
	tb.Helper()
	err := c.Close()
	if err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrClosed) {
		tb.Errorf("close: %v", err)
	}
}

// closeWrite closes the sending direction of a TCP connection.
func closeWrite(tb testing.TB, conn net.Conn) {
	tb.Helper()
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		tb.Errorf("close the sending direction: %v", err)
	}
}

// mustWrite writes text to a connection that the program must not have closed: an error fails the test.
func mustWrite(tb testing.TB, conn io.Writer, text string) {
	tb.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		tb.Errorf("write: %v", err)
	}
}

// discardAll receives from a channel until it is closed.
func discardAll[T any](ch <-chan T) {
	for range ch { //nolint:revive // nothing is done with the values
	}
}

// mustMarshal encodes a value as JSON.
func mustMarshal(tb testing.TB, value any) []byte {
	tb.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		tb.Fatal(err)
	}
	return text
}
