package eventloop

import (
	"errors"
	"fmt"

	"golang.org/x/sys/unix"
)

// ErrNotConnected wraps the error of a connection that was never established: nothing was sent on it.
var ErrNotConnected = errors.New("not connected")

// ErrConnectTimeout is the error of a connection that was not established within its connect timeout.
var ErrConnectTimeout = errors.New("connect timed out")

// ErrWriteStalled is the error of a connection whose peer does not read its output.
var ErrWriteStalled = errors.New("peer accepts no output")

// ErrLocalResourcesExhausted wraps failures of this host or process, such as a lack of descriptors, ports or
// memory. They say nothing about the peer.
var ErrLocalResourcesExhausted = errors.New("local resources exhausted")

// wrapSetupError wraps an error of setting up the loop or a listener with ErrLocalResourcesExhausted if it
// may be temporary.
func wrapSetupError(err error) error {
	if isExhausted(err) {
		return fmt.Errorf("%w: %w", ErrLocalResourcesExhausted, err)
	}
	return err
}

// isLocalError reports whether err was caused by this host or process. Such an error says nothing about the peer.
func isLocalError(err error) bool {
	return isExhausted(err) || isOneOf(err, unix.EADDRNOTAVAIL, unix.EPERM, unix.EACCES)
}

// isExhausted reports whether err was caused by a shortage of descriptors, memory or another resource of the
// system. Such a shortage may be temporary.
func isExhausted(err error) bool {
	return isOneOf(err, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ENOSPC, unix.EAGAIN)
}

// isTransient reports whether the same call on the same connection may succeed after err. The call that failed
// has lost no data.
func isTransient(err error) bool {
	return isOneOf(err, unix.EAGAIN, unix.EINTR, unix.ENOBUFS, unix.ENOMEM)
}

// isAborted reports whether accept failed because of a single connection, which no longer exists, or because a
// signal interrupted it. The next call may succeed.
func isAborted(err error) bool {
	return isOneOf(err, unix.ECONNABORTED, unix.EINTR, unix.EPROTO, unix.ENETDOWN, unix.ENOPROTOOPT,
		unix.EHOSTDOWN, unix.ENONET, unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH, unix.ETIMEDOUT)
}

func isOneOf(err error, errnos ...unix.Errno) bool {
	for _, errno := range errnos {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}
