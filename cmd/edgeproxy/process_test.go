package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// longTimeoutMS is how long a client waits, in milliseconds, where its time must not run out.
const longTimeoutMS = 60_000

// pause stops the program's process until thaw is called: what is sent meanwhile arrives in one piece.
func (w *testEnv) pause() (thaw func()) {
	w.t.Helper()
	if err := w.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		w.t.Fatal(err)
	}
	w.eventually("every thread has stopped", func() bool {
		tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/status", w.cmd.Process.Pid))
		for _, task := range tasks {
			status, err := os.ReadFile(task)
			if err == nil && !strings.Contains(string(status), "State:\tT") {
				return false
			}
		}
		return err == nil
	})
	return func() {
		w.t.Helper()
		if err := w.cmd.Process.Signal(syscall.SIGCONT); err != nil {
			w.t.Fatal(err)
		}
	}
}

// overCancelGrace is more than the operators allow between a client's end and an attempt for it.
const overCancelGrace = 150 * time.Millisecond
