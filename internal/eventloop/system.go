package eventloop

import (
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
