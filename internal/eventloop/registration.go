package eventloop

import (
	"fmt"

	"golang.org/x/sys/unix"
)

// eventHandler is the owner of a descriptor and handles its epoll events.
type eventHandler interface{ handleEvents(events uint32) }

// registration is the present owner of a descriptor. The system reuses descriptors, even within one turn; the
// generation distinguishes the events of this owner from those of an earlier one.
type registration struct {
	owner      eventHandler
	generation int32 // unique to each registration; epoll returns it with the event, in Pad
}

// register registers fd with epoll for events and delivers them to owner.
func (l *Loop) register(fd int, events uint32, owner eventHandler) error {
	l.registrationCount++
	event := &unix.EpollEvent{Events: events, Fd: int32(fd), Pad: l.registrationCount}
	if err := System.Control(l.epollFD, unix.EPOLL_CTL_ADD, fd, event); err != nil {
		return fmt.Errorf("epoll_ctl: %w", err)
	}
	l.registrations[fd] = registration{owner: owner, generation: l.registrationCount}
	return nil
}

// modify replaces the events for which a registered descriptor is watched.
func (l *Loop) modify(fd int, events uint32) error {
	event := &unix.EpollEvent{Events: events, Fd: int32(fd), Pad: l.registrations[fd].generation}
	return System.Control(l.epollFD, unix.EPOLL_CTL_MOD, fd, event)
}

// closeDescriptor closes fd, which also removes it from epoll.
func (l *Loop) closeDescriptor(fd int) {
	delete(l.registrations, fd)
	unix.Close(fd) //nolint:errcheck // the descriptor is released whatever close returns
}

// dispatch delivers epoll events to their owners. An owner whose descriptor was closed earlier in this turn
// gets none.
func (l *Loop) dispatch(events []unix.EpollEvent) {
	for _, event := range events {
		registered, open := l.registrations[int(event.Fd)]
		if open && registered.generation == event.Pad {
			registered.owner.handleEvents(event.Events)
		}
	}
}
