// Command case: some clients that read slowly ask for more than the memory of the proxy holds.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"cloverdoor/review/standin"
)

const (
	// memoryMB is the memory of the proxy; the pages name 32 to 192 MB.
	memoryMB = 32
	// clients is how many clients read slowly, each on one connection.
	clients = 8
	// slowRate is what each of them reads in a second; the pages say 1 MB at the most.
	slowRate = 950_000
	// objectBytes is the largest object of the pages.
	objectBytes = 240_000
	// pause lies between two requests of one client: all together send 533 requests a second, for half a second. The
	// pages say up to 950 a second.
	pause = 15 * time.Millisecond
	// lasting is how long the clients read; one needs 8 s for what it asks.
	lasting = 14 * time.Second
)

func main() { os.Exit(run(os.Args[1], os.Args[2])) }

func run(root, folder string) int {
	record, err := standin.NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return standin.ExitNotRun
	}
	sizes := func(string, string) int { return objectBytes }
	office, err := standin.StartOffice(root, record, 3, 400, 3, sizes, func(config map[string]any) {
		config["limits"] = map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": 1024}
	})
	defer office.Stop()
	if err != nil {
		return record.Finish(standin.ExitNotRun, "%v", err)
	}
	if err := fillCaches(office); err != nil {
		return record.Finish(standin.ExitNotRun, "%v", err)
	}

	rate := 0
	if standin.WithTrouble() {
		rate = slowRate
	}
	var conns []*standin.Conn
	for n := range clients {
		conn, err := standin.Dial(fmt.Sprintf("client-%d", n+1), office.Proxy.Addr, rate, record)
		if err != nil {
			return record.Finish(standin.ExitNotRun, "%v", err)
		}
		conns = append(conns, conn)
	}
	var asked []*standin.Request
	for n := range standin.MaxOpen {
		for _, conn := range conns {
			r := standin.NewRequest("artes", standin.ObjectKey(n), 6*time.Second)
			if err := conn.Send(r); err != nil {
				record.Logf("client", "sends no more on a connection that has ended: %v", err)
				continue
			}
			asked = append(asked, r)
		}
		time.Sleep(pause)
	}
	peak := 0
	for end := time.Now().Add(lasting); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		peak = max(peak, office.Proxy.AnonymousMemory())
		if openRequests(conns) == 0 {
			break
		}
	}
	record.Logf("platform", "the proxy's own memory without files was %d bytes at the most, its limit is %d", peak, memoryMB<<20)
	stillOpen := openRequests(conns)
	for _, conn := range conns {
		if !conn.Ended() {
			conn.Close()
		}
	}
	if stillOpen > 0 {
		record.Logf("client", "%d requests open at the end of the run", stillOpen)
	}
	return judge(record, asked)
}

// openRequests returns how many requests are open on connections that have not ended.
func openRequests(conns []*standin.Conn) (count int) {
	for _, conn := range conns {
		if !conn.Ended() {
			count += conn.OpenRequests()
		}
	}
	return count
}

// fillCaches asks for all objects once, as an ordinary client, so that the caches hold them.
func fillCaches(office *standin.Office) error {
	conn, err := standin.Dial("first-client", office.Proxy.Addr, 0, office.Record)
	if err != nil {
		return err
	}
	for n := range standin.MaxOpen {
		if err := conn.Send(standin.NewRequest("artes", standin.ObjectKey(n), 6*time.Second)); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	conn.Close()
	return nil
}

// judge applies the rule: no connection ends without a whole answer to what was taken on it. An answer that has begun
// counts as failed, as the client can tell that it is not whole.
func judge(record *standin.Record, asked []*standin.Request) int {
	lost, begun, answered := 0, 0, 0
	var last *standin.Request
	for _, r := range asked {
		switch {
		case r.Answers > 0:
			answered++
		case r.EndError == "":
			return record.Finish(standin.ExitNotRun, "request %s has neither an answer nor an end", r.ID)
		case r.Begun:
			begun++
		default:
			lost++
			last = r
		}
	}
	if lost == 0 {
		return record.Finish(standin.ExitHeld, "%d answered whole, %d answers broke off", answered, begun)
	}
	return record.Finish(standin.ExitBroken,
		"%d of %d requests lost: their connections ended before a byte of an answer, the last %s, %.1f s after it was sent (%s); %d more answers broke off",
		lost, len(asked), last.ID, last.EndedAt.Sub(last.SentAt).Seconds(), last.EndError, begun)
}
