package eventloop

import (
	"errors"
	"fmt"

	"golang.org/x/sys/unix"
)

// ErrLocalResources marks a failure of this machine or process, such as a lack of descriptors, ports or memory. It says nothing of the
// peer.
var ErrLocalResources = errors.New("local resources are used up")

// startError marks an error of the start that may pass.
func startError(err error) error {
	if isExhausted(err) {
		return fmt.Errorf("%w: %w", ErrLocalResources, err)
	}
	return err
}

// isLocalError reports errors that say nothing of the peer.
func isLocalError(err error) bool {
	return isExhausted(err) || isOneOf(err, unix.EADDRNOTAVAIL, unix.EPERM, unix.EACCES)
}

// isExhausted reports a lack of descriptors or memory, which may pass.
func isExhausted(err error) bool {
	return isOneOf(err, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ENOSPC, unix.EAGAIN)
}

// isTransient reports errors after which the same call on the same connection may succeed: nothing has been lost.
func isTransient(err error) bool {
	return isOneOf(err, unix.EAGAIN, unix.EINTR, unix.ENOBUFS, unix.ENOMEM)
}

func isOneOf(err error, codes ...unix.Errno) bool {
	for _, code := range codes {
		if errors.Is(err, code) {
			return true
		}
	}
	return false
}

// ErrNotConnected marks a connection that never came up: nothing was sent on it.
var ErrNotConnected = errors.New("not connected")

// ErrConnectTimeout says that a connection did not come up in the time that it was given.
var ErrConnectTimeout = errors.New("connect timed out")

// ErrWriteStalled marks a connection whose peer does not take what it is sent.
var ErrWriteStalled = errors.New("peer takes no output")
