// Command case: a client that reads slowly asks again on a connection on which answers are still on their way.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"cloverdoor/review/standin"
)

const (
	// slowRate is what the client reads in a second; the pages say 1 MB at the most.
	slowRate = 950_000
	// objectBytes is the largest object of the pages.
	objectBytes = 240_000
	// askAgainAfter is how long after the last answer of the servers the client asks again.
	askAgainAfter = 5600 * time.Millisecond
	// crossing is the time within which a request that crosses the close of a resting connection is sent again.
	crossing = 50 * time.Millisecond
	// restLimit is after how long of rest a client closes its connection.
	restLimit = 4 * time.Second
)

func main() { os.Exit(run(os.Args[1], os.Args[2])) }

func run(root, folder string) int {
	record, err := standin.NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return standin.ExitNotRun
	}
	sizes := func(class, _ string) int {
		if class == "artes" {
			return objectBytes
		}
		return 20_000
	}
	office, err := standin.StartOffice(root, record, 3, 40, 3, sizes, nil)
	defer office.Stop()
	if err != nil {
		return record.Finish(standin.ExitNotRun, "%v", err)
	}
	rate := 0
	if standin.WithTrouble() {
		rate = slowRate
	}
	client, err := standin.Dial("client", office.Proxy.Addr, rate, record)
	if err != nil {
		return record.Finish(standin.ExitNotRun, "%v", err)
	}

	// A page with as many objects as one connection may carry at once.
	var page []*standin.Request
	for n := range standin.MaxOpen {
		r := standin.NewRequest("artes", standin.ObjectKey(n), 6*time.Second)
		if err := client.Send(r); err != nil {
			return record.Finish(standin.ExitNotRun, "%v", err)
		}
		page = append(page, r)
	}
	// The next click, while the client still reads that page, or once it has it.
	time.Sleep(time.Second + askAgainAfter)
	if client.IdleFor() >= restLimit {
		client.Close()
		if client, err = standin.Dial("client", office.Proxy.Addr, rate, record); err != nil {
			return record.Finish(standin.ExitNotRun, "%v", err)
		}
	}
	next := standin.NewRequest("fichas", standin.ObjectKey(100), 3*time.Second)
	record.Logf("client", "asks again: %d requests open, the proxy has closed: %v", client.OpenRequests(), client.PeerHasClosed())
	if err := client.Send(next); err != nil {
		return record.Finish(standin.ExitNotRun, "%v", err)
	}
	time.Sleep(crossing)
	crossed := client.PeerHasClosed()
	record.Logf("client", "%v later, the proxy has closed: %v", crossing, crossed)

	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if client.OpenRequests() == 0 || client.Ended() {
			break
		}
	}
	client.Close()
	return judge(record, page, next, crossed)
}

// judge applies the rule: every request that was taken has one whole answer.
func judge(record *standin.Record, page []*standin.Request, next *standin.Request, crossed bool) int {
	for _, r := range page {
		if r.Answers != 1 || r.Status != "200" {
			return record.Finish(standin.ExitNotRun, "request %s of the page: %d answers, status %q", r.ID, r.Answers, r.Status)
		}
	}
	switch {
	case next.Answers == 1:
		return record.Finish(standin.ExitHeld, "all %d requests have one whole answer", len(page)+1)
	case crossed:
		return record.Finish(standin.ExitNotRun, "the request crossed a close within %v", crossing)
	}
	return record.Finish(standin.ExitBroken,
		"request %s was written to an open connection and got no answer: the connection ended %.3f s later (%s)",
		next.ID, next.EndedAt.Sub(next.SentAt).Seconds(), next.EndError)
}
