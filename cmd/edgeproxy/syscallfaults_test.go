package main

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"

	"cloverdoor/internal/eventloop"
)

// syscallFaultsEnv is the environment variable that says which system calls of a program fail. It holds words of the
// form CALL:ERRNO:FROM-TO, where FROM and TO number the first and the last of the failing calls, from 1, or
// halfwrite:TEXT for a connection whose writes block forever after TEXT.
const syscallFaultsEnv = "CLOVERDOOR_TEST_FAULTS"

// randomFaultsEnv is the environment variable with the seed of random failures of system calls.
const randomFaultsEnv = "CLOVERDOOR_TEST_RANDOM_FAULTS"

const (
	failureChance       = 0.01              // chance that a system call fails
	disconnectChance    = failureChance / 4 // chance that a read or write breaks a connection that the program has opened
	shortTransferChance = 0.05              // chance that a read or write transfers only a part
	// failureStream is the second half of the PCG seed for the failures. The first half is the seed in
	// randomFaultsEnv.
	failureStream = 5
	// maxErrno is greater than all error numbers.
	maxErrno = 200
)

// randomSyscalls makes system calls fail at random, with the errors that their manual pages list. Only connections
// that the program has opened break: a client's connection never does, as its requests must get an answer.
type randomSyscalls struct {
	rng    *rand.Rand
	system eventloop.SystemCalls // the calls themselves, without failures
	opened map[int]bool          // descriptors that the program has opened
}

// injectRandomSyscallFaults makes system calls fail at random if randomFaultsEnv holds a seed.
func injectRandomSyscallFaults() {
	seed, err := strconv.ParseUint(os.Getenv(randomFaultsEnv), 10, 64)
	if err != nil {
		return
	}
	r := &randomSyscalls{rng: rand.New(rand.NewPCG(seed, failureStream)), system: eventloop.System, opened: map[int]bool{}}
	eventloop.System.Socket = r.socket
	eventloop.System.Connect = r.connect
	eventloop.System.Accept = r.accept
	eventloop.System.Read = r.wrapTransfer(r.system.Read, unix.ECONNRESET, unix.ETIMEDOUT, unix.EHOSTUNREACH)
	eventloop.System.Write = r.wrapTransfer(r.system.Write, unix.EPIPE, unix.ECONNRESET, unix.ETIMEDOUT, unix.EHOSTUNREACH)
	eventloop.System.SetOption = r.setOption
	eventloop.System.Control = r.control
	eventloop.System.Wait = r.wait
}

// drawFailure draws whether a call fails, and returns one of the codes if it does and nil if it does not.
func (r *randomSyscalls) drawFailure(codes ...unix.Errno) error {
	if r.rng.Float64() < failureChance {
		return codes[r.rng.IntN(len(codes))]
	}
	return nil
}

func (r *randomSyscalls) socket(family, kind, protocol int) (int, error) {
	if err := r.drawFailure(unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM); err != nil {
		return -1, err
	}
	fd, err := r.system.Socket(family, kind, protocol)
	r.opened[fd] = err == nil
	return fd, err
}

func (r *randomSyscalls) connect(fd int, addr unix.Sockaddr) error {
	if err := r.drawFailure(unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.EAGAIN); err != nil {
		return err
	}
	err := r.system.Connect(fd, addr)
	if errors.Is(err, unix.EINPROGRESS) && r.rng.Float64() < failureChance {
		return unix.EINTR
	}
	return err
}

func (r *randomSyscalls) accept(fd, flags int) (int, error) {
	err := r.drawFailure(unix.ECONNABORTED, unix.EINTR, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EPROTO, unix.EPERM,
		unix.ENETDOWN, unix.EHOSTUNREACH)
	if err != nil {
		return -1, err
	}
	accepted, err := r.system.Accept(fd, flags)
	r.opened[accepted] = false
	return accepted, err
}

// wrapTransfer wraps a read or a write so that, at random, it fails temporarily, transfers only a part, or breaks the
// connection with one of the codes.
func (r *randomSyscalls) wrapTransfer(call func(int, []byte) (int, error), codes ...unix.Errno) func(int, []byte) (int, error) {
	return func(fd int, data []byte) (int, error) {
		if err := r.drawFailure(unix.EINTR, unix.EINTR, unix.ENOBUFS, unix.ENOMEM); err != nil {
			return -1, err
		}
		if r.opened[fd] && r.rng.Float64() < disconnectChance {
			return -1, codes[r.rng.IntN(len(codes))]
		}
		if len(data) > 1 && r.rng.Float64() < shortTransferChance {
			data = data[:1+r.rng.IntN(len(data)-1)]
		}
		return call(fd, data)
	}
}

func (r *randomSyscalls) setOption(fd, level, option, value int) error {
	if err := r.drawFailure(unix.ENOBUFS, unix.ENOMEM); err != nil {
		return err
	}
	return r.system.SetOption(fd, level, option, value)
}

func (r *randomSyscalls) control(epoll, operation, fd int, event *unix.EpollEvent) error {
	if err := r.drawFailure(unix.ENOMEM, unix.ENOSPC); err != nil {
		return err
	}
	return r.system.Control(epoll, operation, fd, event)
}

func (r *randomSyscalls) wait(epoll int, events []unix.EpollEvent, timeoutMS int) (int, error) {
	if err := r.drawFailure(unix.EINTR); err != nil {
		return -1, err
	}
	return r.system.Wait(epoll, events, timeoutMS)
}

// injectSyscallFaults makes system calls fail as randomFaultsEnv and syscallFaultsEnv say.
func injectSyscallFaults() {
	injectRandomSyscallFaults()
	for _, faultSpec := range strings.Fields(os.Getenv(syscallFaultsEnv)) {
		call, rest, _ := strings.Cut(faultSpec, ":")
		if call == "halfwrite" {
			blockWritesAfter([]byte(rest))
			continue
		}
		name, bounds, _ := strings.Cut(rest, ":")
		var from, to int
		if _, err := fmt.Sscanf(bounds, "%d-%d", &from, &to); err != nil {
			panic(faultSpec)
		}
		failCall(call, errnoByName(name), from, to)
	}
}

// errnoByName returns the error number with the given name.
func errnoByName(name string) unix.Errno {
	for code := unix.Errno(1); code < maxErrno; code++ {
		if unix.ErrnoName(code) == name {
			return code
		}
	}
	panic(name)
}

// failCall makes a system call fail with a code. The calls are counted from 1: from is the number of the first call that
// fails, to that of the last.
func failCall(call string, code unix.Errno, from, to int) {
	count := 0
	fails := func() bool {
		count++
		return count >= from && count <= to
	}
	system := eventloop.System
	switch call {
	case "connect":
		eventloop.System.Connect = func(fd int, addr unix.Sockaddr) error {
			if fails() {
				return code
			}
			return system.Connect(fd, addr)
		}
	case "socket":
		eventloop.System.Socket = func(family, kind, protocol int) (int, error) {
			if fails() {
				return -1, code
			}
			return system.Socket(family, kind, protocol)
		}
	case "accept":
		eventloop.System.Accept = func(fd, flags int) (int, error) {
			if fails() {
				return -1, code
			}
			return system.Accept(fd, flags)
		}
	default:
		panic(call)
	}
}

// blockWritesAfter blocks the writes of the first connection that writes the text, right after the text. Other
// connections are not affected, nor is a later one with the same descriptor.
func blockWritesAfter(text []byte) {
	const (
		notYet = -1 // no connection has written the text
		closed = -2 // the blocked connection was closed and its descriptor reused
	)
	write := eventloop.System.Write
	socket := eventloop.System.Socket
	blockedFD := notYet // descriptor of the blocked connection
	eventloop.System.Socket = func(family, kind, protocol int) (int, error) {
		fd, err := socket(family, kind, protocol)
		if fd == blockedFD {
			blockedFD = closed
		}
		return fd, err
	}
	eventloop.System.Write = func(fd int, data []byte) (int, error) {
		if fd == blockedFD {
			return -1, unix.EAGAIN
		}
		at := bytes.Index(data, text)
		if at >= 0 && blockedFD == notYet {
			blockedFD = fd
			return write(fd, data[:at+len(text)])
		}
		return write(fd, data)
	}
}
