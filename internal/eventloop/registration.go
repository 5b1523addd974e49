package eventloop

import (
	"fmt"

	"golang.org/x/sys/unix"
)

// eventHandler is what an epoll event is delivered to.
type eventHandler interface{ handleEvents(events uint32) }

// registration is what has a descriptor now. Descriptors are used again, also within one turn: an event counts for the owner that
// it was asked for alone.
type registration struct {
	owner      eventHandler
	generation int32 // of the addition, which epoll keeps beside the descriptor
}

func (l *Loop) register(fd int, events uint32, p eventHandler) error {
	l.registrationCount++
	event := &unix.EpollEvent{Events: events, Fd: int32(fd), Pad: l.registrationCount}
	if err := System.Control(l.epollFD, unix.EPOLL_CTL_ADD, fd, event); err != nil {
		return fmt.Errorf("epoll_ctl: %w", err)
	}
	l.registrations[fd] = registration{owner: p, generation: l.registrationCount}
	return nil
}

func (l *Loop) modify(fd int, events uint32) error {
	return System.Control(l.epollFD, unix.EPOLL_CTL_MOD, fd, &unix.EpollEvent{Events: events, Fd: int32(fd), Pad: l.registrations[fd].generation})
}

// closeDescriptor closes fd, which takes it out of epoll too.
func (l *Loop) closeDescriptor(fd int) {
	delete(l.registrations, fd)
	unix.Close(fd) //nolint:errcheck // nothing can be done about it
}
