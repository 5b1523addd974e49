package eventloop

import "golang.org/x/sys/unix"

// SystemCalls are the socket and epoll system calls that tests can replace. They return the errors that the
// manual pages list.
type SystemCalls struct {
	Socket    func(family, socketType, protocol int) (int, error)
	Connect   func(fd int, addr unix.Sockaddr) error
	Accept    func(fd, flags int) (int, error)
	Read      func(fd int, data []byte) (int, error)
	Write     func(fd int, data []byte) (int, error)
	Peek      func(fd int, data []byte) (int, error) // does not block; the bytes it returns stay unread
	Shutdown  func(fd, direction int) error
	SetOption func(fd, level, option, value int) error
	GetOption func(fd, level, option int) (int, error)
	PeerName  func(fd int) error // returns nil if the socket is connected
	Control   func(epollFD, operation, fd int, event *unix.EpollEvent) error
	Wait      func(epollFD int, events []unix.EpollEvent, timeoutMillis int) (int, error)
}

// System holds the calls in use. Only tests replace them, with calls that fail, and never while a loop runs.
var System = SystemCalls{
	Socket:    unix.Socket,
	Connect:   unix.Connect,
	Accept:    acceptWithoutAddress,
	Read:      unix.Read,
	Write:     unix.Write,
	Peek:      peek,
	Shutdown:  unix.Shutdown,
	SetOption: unix.SetsockoptInt,
	GetOption: unix.GetsockoptInt,
	PeerName:  peerName,
	Control:   unix.EpollCtl,
	Wait:      unix.EpollWait,
}

func acceptWithoutAddress(fd, flags int) (int, error) {
	accepted, _, err := unix.Accept4(fd, flags)
	return accepted, err
}

func peek(fd int, data []byte) (int, error) {
	n, _, err := unix.Recvfrom(fd, data, unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return n, err
}

func peerName(fd int) error {
	_, err := unix.Getpeername(fd)
	return err
}
