package eventloop

import (
	"errors"
	"fmt"

	"golang.org/x/sys/unix"
)

// SystemCalls are the calls that the package makes on sockets and on epoll. They have the errors of the manual pages.
type SystemCalls struct {
	Socket    func(family, kind, protocol int) (int, error)
	Connect   func(fd int, to unix.Sockaddr) error
	Accept    func(fd, flags int) (int, error)
	Read      func(fd int, data []byte) (int, error)
	Write     func(fd int, data []byte) (int, error)
	Peek      func(fd int, data []byte) (int, error) // without waiting, and what it returns stays unread
	Shutdown  func(fd, how int) error
	SetOption func(fd, level, option, value int) error
	GetOption func(fd, level, option int) (int, error)
	PeerName  func(fd int) error // no error once it is connected
	Control   func(epoll, operation, fd int, event *unix.EpollEvent) error
	Wait      func(epoll int, events []unix.EpollEvent, millis int) (int, error)
}

// System is the table that the package calls. Tests put calls in that fail; nothing else changes it, and never while a loop
// runs.
var System = SystemCalls{
	Socket:  unix.Socket,
	Connect: unix.Connect,
	Accept: func(fd, flags int) (int, error) {
		accepted, _, err := unix.Accept4(fd, flags)
		return accepted, err
	},
	Read:  unix.Read,
	Write: unix.Write,
	Peek: func(fd int, data []byte) (int, error) {
		n, _, err := unix.Recvfrom(fd, data, unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return n, err
	},
	Shutdown:  unix.Shutdown,
	SetOption: unix.SetsockoptInt,
	GetOption: unix.GetsockoptInt,
	PeerName: func(fd int) error {
		_, err := unix.Getpeername(fd)
		return err
	},
	Control: unix.EpollCtl,
	Wait:    unix.EpollWait,
}

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
