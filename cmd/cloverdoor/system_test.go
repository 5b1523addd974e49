package main

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"

	"cloverdoor/internal/net"
)

// brokenCalls is the environment variable that tells a program under test which system calls fail: words of the form
// CALL:ERRNO:FROM-TO, where FROM and TO count the calls, or halfwrite:TEXT for writes that stop for good behind TEXT.
const brokenCalls = "CLOVERDOOR_TEST_FAULTS"

// breakCalls puts the failing calls into the program's table.
func breakCalls() {
	for _, word := range strings.Fields(os.Getenv(brokenCalls)) {
		call, rest, _ := strings.Cut(word, ":")
		if call == "halfwrite" {
			breakWritesBehind([]byte(rest))
			continue
		}
		name, bounds, _ := strings.Cut(rest, ":")
		var from, to int
		if _, err := fmt.Sscanf(bounds, "%d-%d", &from, &to); err != nil {
			panic(word)
		}
		breakCall(call, errno(name), from, to)
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

// breakCall lets one call fail from its nth time to another.
func breakCall(call string, code unix.Errno, from, to int) {
	count := 0
	fails := func() bool {
		count++
		return count >= from && count <= to
	}
	switch real := net.System; call {
	case "connect":
		net.System.Connect = func(fd int, addr unix.Sockaddr) error {
			if fails() {
				return code
			}
			return real.Connect(fd, addr)
		}
	case "socket":
		net.System.Socket = func(family, kind, protocol int) (int, error) {
			if fails() {
				return -1, code
			}
			return real.Socket(family, kind, protocol)
		}
	default:
		panic(call)
	}
}

// breakWritesBehind lets the first output that holds a text stop behind it: its peer takes no more. Other connections are
// sound, also one that gets the same descriptor later.
func breakWritesBehind(text []byte) {
	const none, over = -1, -2
	real, stuck, socket := net.System.Write, none, net.System.Socket
	net.System.Socket = func(family, kind, protocol int) (int, error) {
		fd, err := socket(family, kind, protocol)
		if fd == stuck {
			stuck = over
		}
		return fd, err
	}
	net.System.Write = func(fd int, data []byte) (int, error) {
		if fd == stuck {
			return -1, unix.EAGAIN
		}
		if at := bytes.Index(data, text); at >= 0 && stuck == none {
			stuck = fd
			return real(fd, data[:at+len(text)])
		}
		return real(fd, data)
	}
}

// A call of which its server takes only a part never runs. It is given up before the deadline that it tells is too late, and
// may be sent again, also where it must not run twice.
func TestHalfWrittenCallIsSentAgain(t *testing.T) {
	w := prepare(t)
	w.environment = []string{brokenCalls + "=halfwrite:registro"}
	w.startBehind(w.cache, w.origin)
	c := w.dial()
	c.ask(1, "registro", 2000, 1, "x")
	receive(t, w.origin.calls, "whole call").answer("served", "-", "written")
	if a := receive(t, c.answers, "answer"); a.body != "written" {
		t.Errorf("%+v", a)
	}
	if len(w.origin.calls) != 0 {
		t.Error("it ran twice")
	}
}

// That this machine has no descriptor or port left says nothing of a server: none is suspected.
func TestLocalFailureSuspectsNobody(t *testing.T) {
	for _, failure := range []string{"socket:ENFILE:4-40", "socket:ENOBUFS:4-40", "connect:EADDRNOTAVAIL:2-40"} {
		w := prepare(t)
		w.cache.serve("served", "-", "fine")
		w.environment = []string{brokenCalls + "=" + failure}
		w.startBehind(w.cache, w.origin)
		receive(t, w.follows, "follow")
		c := w.dial()
		c.ask(1, "artes", longWait, 1, "")
		if a := receive(t, c.answers, "refusal"); a.status != "503" {
			t.Errorf("%s: %+v", failure, a)
		}
		if n := w.figure("svc_out_of_rotation"); n != 0 {
			t.Errorf("%s: %d servers are suspected", failure, n)
		}
		w.cmd.Process.Signal(syscall.SIGKILL) //nolint:errcheck // the next one is another program
	}
}
