package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"time"
)

// adminRaw sends raw bytes to the operators' address and returns the status and body of the answer.
func (w *testEnv) adminRaw(raw string) (status int, body string) {
	w.t.Helper()
	conn, err := net.Dial("tcp", w.adminAddr)
	if err != nil {
		w.t.Fatal(err)
	}
	defer closeOnce(w.t, conn)
	conn.SetDeadline(time.Now().Add(testTimeout)) //nolint:errcheck // shows in the answer
	io.WriteString(conn, raw)                     //nolint:errcheck // shows in the answer
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		w.t.Fatalf("%.40q: %v", raw, err)
	}
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		w.t.Fatal(err)
	}
	return answer.StatusCode, string(text)
}

// adminCall makes a well-formed call.
func (w *testEnv) adminCall(method, path string) (status int, body string) {
	w.t.Helper()
	return w.adminRaw(method + " " + path + " HTTP/1.1\r\nHost: " + w.adminAddr + "\r\n\r\n")
}

func (w *testEnv) readiness() int {
	w.t.Helper()
	status, _ := w.adminCall("GET", "/ops/readiness")
	return status
}

// metric fetches one of the figures; -1: it is not there.
func (w *testEnv) metric(name string) int {
	w.t.Helper()
	_, body := w.adminCall("GET", "/ops/stats")
	if m := regexp.MustCompile(`(?m)^` + regexp.QuoteMeta(name) + ` (\d+)$`).FindStringSubmatch(body); m != nil {
		n, _ := strconv.Atoi(m[1]) //nolint:errcheck // digits
		return n
	}
	return -1
}

func (w *testEnv) checkMetrics(want map[string]int) {
	w.t.Helper()
	for name, n := range want {
		if got := w.metric(name); got != n {
			w.t.Errorf("%s is %d, want %d", name, got, n)
		}
	}
}

func operationsMetric(class, status string) string {
	return fmt.Sprintf("svc_operations{priority=%q,status=%q}", class, status)
}
