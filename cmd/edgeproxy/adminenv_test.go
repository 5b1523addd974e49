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

// adminRaw sends raw bytes to the admin address and returns the status and the body of the answer.
func (env *testEnv) adminRaw(raw string) (status int, body string) {
	env.t.Helper()
	conn, err := net.Dial("tcp", env.adminAddr)
	if err != nil {
		env.t.Fatal(err)
	}
	defer closeOnce(env.t, conn)
	conn.SetDeadline(time.Now().Add(testTimeout)) //nolint:errcheck // an error shows in the answer
	io.WriteString(conn, raw)                     //nolint:errcheck // an error shows in the answer
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		env.t.Fatalf("%.40q: %v", raw, err)
	}
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		env.t.Fatal(err)
	}
	return answer.StatusCode, string(text)
}

// adminCall makes a well-formed call to the admin address.
func (env *testEnv) adminCall(method, path string) (status int, body string) {
	env.t.Helper()
	return env.adminRaw(method + " " + path + " HTTP/1.1\r\nHost: " + env.adminAddr + "\r\n\r\n")
}

// readiness returns the status of /ops/readiness.
func (env *testEnv) readiness() int {
	env.t.Helper()
	status, _ := env.adminCall("GET", "/ops/readiness")
	return status
}

// metric returns the value of a metric of /ops/stats, or -1 if it is missing.
func (env *testEnv) metric(name string) int {
	env.t.Helper()
	_, body := env.adminCall("GET", "/ops/stats")
	line := regexp.MustCompile(`(?m)^` + regexp.QuoteMeta(name) + ` (\d+)$`).FindStringSubmatch(body)
	if line == nil {
		return -1
	}
	value, err := strconv.Atoi(line[1])
	if err != nil {
		env.t.Fatalf("%s: %v", name, err)
	}
	return value
}

// checkMetrics checks the values of metrics, given by name.
func (env *testEnv) checkMetrics(wants map[string]int) {
	env.t.Helper()
	for name, want := range wants {
		got := env.metric(name)
		if got != want {
			env.t.Errorf("%s is %d, want %d", name, got, want)
		}
	}
}

// operationsMetric returns the name of the metric that counts the requests of a class with an outcome.
func operationsMetric(class, outcome string) string {
	return fmt.Sprintf("svc_operations{priority=%q,status=%q}", class, outcome)
}
