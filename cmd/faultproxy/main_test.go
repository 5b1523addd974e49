package main

import (
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// closeOnce closes c. It does not fail if c is closed already.
func closeOnce(tb testing.TB, c io.Closer) {
	tb.Helper()
	if err := c.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		tb.Errorf("close: %v", err)
	}
}

// writeFile writes text to a new file in a temporary directory, and returns its path.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestBadCommandLines checks that run rejects bad flags and scripts with an error of one line, and that -check accepts
// a good script.
func TestBadCommandLines(t *testing.T) {
	validScript := "link a listen 127.0.0.1:0 to 127.0.0.1:9\n"
	for want, args := range map[string][]string{
		"-script FILE is required":  {},
		"flag provided but not":     {"-nonsense"},
		"no such file":              {"-script", "/nowhere/at/all"},
		"line 2: explode":           {"-script", writeFile(t, validScript+"a : explode")},
		"-for must be at least 0":   {"-script", writeFile(t, validScript), "-for", "-3s"},
		"two logs":                  {"-compare", "one"},
		"listen: 10.1.2.3:1 is not": {"-script", writeFile(t, "link a listen 10.1.2.3:1 to 127.0.0.1:9")},
	} {
		if err := run(args, io.Discard); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("arguments %v: got error %v, want the error of the case, in one line", args, err)
		}
	}
	if err := run([]string{"-script", writeFile(t, validScript), "-check"}, io.Discard); err != nil {
		t.Error(err)
	}
}

// TestCompare checks that -compare ignores the order of connections, and rejects missing and different lines.
func TestCompare(t *testing.T) {
	pathA := writeFile(t, "c#1 up 3 line 4 reset\nc#2 up 9 line 5 drop\nc#1 down 7 line 4 close\n")
	pathB := writeFile(t, "c#2 up 9 line 5 drop\nc#1 up 3 line 4 reset\nc#1 down 7 line 4 close\n")
	if err := run([]string{"-compare", pathA, pathB}, io.Discard); err != nil {
		t.Error(err)
	}
	for _, otherLog := range []string{"c#1 up 3 line 4 reset\n", "", "c#1 up 3 line 4 reset\nc#2 up 8 line 5 drop\nc#1 down 7 line 4 close\n"} {
		if err := run([]string{"-compare", pathA, writeFile(t, otherLog)}, io.Discard); err == nil {
			t.Errorf("the different log %q compares as equal", otherLog)
		}
	}
}

// TestRun checks that a run relays, logs the faults that fire, and ends without an error at SIGTERM.
func TestRun(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer closeOnce(t, target)
	tempListener, err := net.Listen("tcp", "127.0.0.3:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := tempListener.Addr().String()
	log := filepath.Join(t.TempDir(), "log")
	closeOnce(t, tempListener)
	script := writeFile(t, "link a listen "+addr+" to "+target.Addr().String()+"\na up byte 3 : close\n")
	ended := make(chan error, 1)
	go func() { ended <- run([]string{"-script", script, "-log", log, "-for", "1m"}, io.Discard) }()
	var conn net.Conn
	for deadline := time.Now().Add(20 * time.Second); conn == nil; {
		if conn, err = net.Dial("tcp", addr); err != nil && time.Now().After(deadline) {
			t.Fatal(err)
		}
	}
	defer closeOnce(t, conn)
	io.WriteString(conn, "abcdef") //nolint:errcheck // a failure shows at the other end
	got, err := target.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer closeOnce(t, got)
	text, _ := io.ReadAll(got)
	if string(text) != "abc" { // a reset may follow the close
		t.Errorf("the target read %q, want the 3 bytes before the close", text)
	}
	if err := syscall.Kill(syscall.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
	text, err = os.ReadFile(log)
	if err != nil || string(text) != "a#1 up 3 line 2 close\n" {
		t.Errorf("got log %q, error %v, want the line of the close", text, err)
	}
}
