package soak

import (
	"bufio"
	"bytes"
	"io"
	"os"
	"syscall"
)

// pipeSize is what a pipe holds.
const pipeSize = 64 << 10

// logPipe is a pipe for a program's log. Where nobody reads, it is full from the start.
func logPipe(full bool) (read, write *os.File, err error) {
	var ends [2]int
	if err := syscall.Pipe2(ends[:], syscall.O_CLOEXEC); err != nil {
		return nil, nil, err
	}
	read, write = os.NewFile(uintptr(ends[0]), "log"), os.NewFile(uintptr(ends[1]), "log")
	if full {
		_, err = write.Write(bytes.Repeat([]byte("\n"), pipeSize))
	}
	return read, write, err
}

// readLog takes the log into the timeline. While nobody is to read it, it waits.
func (p *process) readLog(log io.ReadCloser) {
	defer log.Close() //nolint:errcheck // it was only read
	p.mu.Lock()
	unread, exited := p.logUnread, p.exited
	p.logUnread = false
	p.mu.Unlock()
	if unread {
		p.r.h.Note("trouble", "nobody reads the log of %s", p.name())
		<-exited
	}
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		if lines.Text() != "" {
			p.r.h.Note(p.name(), "log: %s", lines.Text())
		}
	}
	io.Copy(io.Discard, log) //nolint:errcheck // its end is what counts
}
