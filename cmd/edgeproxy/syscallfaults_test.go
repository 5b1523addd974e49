package main

import (
	"bytes"
	"cloverdoor/internal/eventloop"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// syscallFaultsEnv is the environment variable that tells a program under test which system calls fail: words of the form
// CALL:ERRNO:FROM-TO, where FROM and TO count the calls, or halfwrite:TEXT for writes that stop for good behind TEXT.
const syscallFaultsEnv = "CLOVERDOOR_TEST_FAULTS"

// randomFailures is the environment variable that has system calls fail by a seed, now and then.
const randomFailures = "CLOVERDOOR_TEST_RANDOM_FAULTS"

const (
	failureChance = 0.01
	shortChance   = 0.05 // of a read or write that does only a part
)

// injectRandomSyscallFaults has every call of the table fail now and then, in the ways that its manual page lists. What ends a connection
// for good happens only on those that the program has made itself: a client's is whole, and its requests are owed an answer.
func injectRandomSyscallFaults() {
	seed, err := strconv.ParseUint(os.Getenv(randomFailures), 10, 64)
	if err != nil {
		return
	}
	rng, system, own := rand.New(rand.NewPCG(seed, 5)), eventloop.System, map[int]bool{}
	fails := func(codes ...unix.Errno) error {
		if rng.Float64() < failureChance {
			return codes[rng.IntN(len(codes))]
		}
		return nil
	}
	eventloop.System.Socket = func(family, kind, protocol int) (int, error) {
		if err := fails(unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM); err != nil {
			return -1, err
		}
		fd, err := system.Socket(family, kind, protocol)
		own[fd] = err == nil
		return fd, err
	}
	eventloop.System.Connect = func(fd int, addr unix.Sockaddr) error {
		if err := fails(unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.EAGAIN); err != nil {
			return err
		}
		err := system.Connect(fd, addr)
		if errors.Is(err, unix.EINPROGRESS) && rng.Float64() < failureChance {
			return unix.EINTR
		}
		return err
	}
	eventloop.System.Accept = func(fd, flags int) (int, error) {
		err := fails(unix.ECONNABORTED, unix.EINTR, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EPROTO, unix.EPERM,
			unix.ENETDOWN, unix.EHOSTUNREACH)
		if err != nil {
			return -1, err
		}
		accepted, err := system.Accept(fd, flags)
		own[accepted] = false
		return accepted, err
	}
	transfer := func(call func(int, []byte) (int, error), ends ...unix.Errno) func(int, []byte) (int, error) {
		return func(fd int, data []byte) (int, error) {
			if err := fails(unix.EINTR, unix.EINTR, unix.ENOBUFS, unix.ENOMEM); err != nil {
				return -1, err
			}
			if own[fd] && rng.Float64() < failureChance/4 {
				return -1, ends[rng.IntN(len(ends))]
			}
			if len(data) > 1 && rng.Float64() < shortChance {
				data = data[:1+rng.IntN(len(data)-1)]
			}
			return call(fd, data)
		}
	}
	eventloop.System.Read = transfer(system.Read, unix.ECONNRESET, unix.ETIMEDOUT, unix.EHOSTUNREACH)
	eventloop.System.Write = transfer(system.Write, unix.EPIPE, unix.ECONNRESET, unix.ETIMEDOUT, unix.EHOSTUNREACH)
	eventloop.System.SetOption = func(fd, level, option, value int) error {
		if err := fails(unix.ENOBUFS, unix.ENOMEM); err != nil {
			return err
		}
		return system.SetOption(fd, level, option, value)
	}
	eventloop.System.Control = func(epoll, operation, fd int, event *unix.EpollEvent) error {
		if err := fails(unix.ENOMEM, unix.ENOSPC); err != nil {
			return err
		}
		return system.Control(epoll, operation, fd, event)
	}
	eventloop.System.Wait = func(epoll int, events []unix.EpollEvent, millis int) (int, error) {
		if err := fails(unix.EINTR); err != nil {
			return -1, err
		}
		return system.Wait(epoll, events, millis)
	}
}

// injectSyscallFaults puts the failing calls into the program's table.
func injectSyscallFaults() {
	injectRandomSyscallFaults()
	for _, word := range strings.Fields(os.Getenv(syscallFaultsEnv)) {
		call, rest, _ := strings.Cut(word, ":")
		if call == "halfwrite" {
			blockWritesAfter([]byte(rest))
			continue
		}
		name, bounds, _ := strings.Cut(rest, ":")
		var from, to int
		if _, err := fmt.Sscanf(bounds, "%d-%d", &from, &to); err != nil {
			panic(word)
		}
		failCall(call, errno(name), from, to)
	}
}

func errno(name string) unix.Errno {
	for code := unix.Errno(1); code < 200; code++ {
		if unix.ErrnoName(code) == name {
			return code
		}
	}
	panic(name)
}

// failCall lets one call fail from its nth time to another.
func failCall(call string, code unix.Errno, from, to int) {
	count := 0
	fails := func() bool {
		count++
		return count >= from && count <= to
	}
	switch system := eventloop.System; call {
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

// blockWritesAfter lets the first output that holds a text stop behind it: its peer takes no more. Other connections are
// sound, also one that gets the same descriptor later.
func blockWritesAfter(text []byte) {
	const none, over = -1, -2
	write, stuck, socket := eventloop.System.Write, none, eventloop.System.Socket
	eventloop.System.Socket = func(family, kind, protocol int) (int, error) {
		fd, err := socket(family, kind, protocol)
		if fd == stuck {
			stuck = over
		}
		return fd, err
	}
	eventloop.System.Write = func(fd int, data []byte) (int, error) {
		if fd == stuck {
			return -1, unix.EAGAIN
		}
		if at := bytes.Index(data, text); at >= 0 && stuck == none {
			stuck = fd
			return write(fd, data[:at+len(text)])
		}
		return write(fd, data)
	}
}
