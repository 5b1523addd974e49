// Command case: a new configuration adds a class and moves discovery; then a group of objects is purged.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"cloverdoor/review/standin"
)

const (
	// purgeAfterReload is when the purge takes place, after SIGHUP.
	purgeAfterReload = time.Second
	// toldAfterReload is when, after SIGHUP, what the coordinator has to tell counts as told.
	toldAfterReload = 4 * time.Second
	// grace is the time that a proxy has to heed a purge, with the 50 ms that are added on sockets.
	grace = 350 * time.Millisecond
	// margin is on top of that, for a busy machine.
	margin = 150 * time.Millisecond
	// purgeDone is when all servers have dropped the purged copies; the pages allow them 6 s.
	purgeDone = 5800 * time.Millisecond
	// group is the group of all objects here.
	group = 17
	// objects is how many objects the clients ask for, in turn.
	objects = 12
)

func main() { os.Exit(run(os.Args[1], os.Args[2])) }

func run(root, folder string) int {
	record, err := standin.NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return standin.ExitNotRun
	}
	const classesAtTheStart = 2 // artes and fichas; registro follows
	sizes := func(string, string) int { return 30_000 }
	office, err := standin.StartOffice(root, record, 3, 40, classesAtTheStart, sizes, nil)
	defer office.Stop()
	if err != nil {
		return record.Finish(standin.ExitNotRun, "%v", err)
	}
	client, err := standin.Dial("client", office.Proxy.Addr, 0, record)
	if err != nil {
		return record.Finish(standin.ExitNotRun, "%v", err)
	}
	var asked []*standin.Request
	ask := func(until time.Time) error {
		for ; time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
			r := standin.NewRequest("artes", standin.ObjectKey(len(asked)%objects), 3*time.Second)
			if err := client.Send(r); err != nil {
				return err
			}
			asked = append(asked, r)
		}
		return nil
	}
	reloadAt := time.Now().Add(3 * time.Second)
	err = ask(reloadAt)
	if err == nil && standin.WithTrouble() {
		err = reload(office)
	}
	if err == nil {
		err = ask(reloadAt.Add(purgeAfterReload))
	}
	if err != nil {
		return record.Finish(standin.ExitNotRun, "%v", err)
	}
	purgedAt := time.Now().UnixMilli()
	office.News.Add("evict", map[string]any{"shard": group, "unix_ms": purgedAt})
	office.World.Purge(purgedAt, purgeDone)
	if err := ask(time.UnixMilli(purgedAt).Add(purgeDone)); err != nil {
		return record.Finish(standin.ExitNotRun, "%v", err)
	}
	if standin.WithTrouble() { // one request of the new class, for the record alone
		if err := client.Send(standin.NewRequest("registro", standin.ObjectKey(500), 3*time.Second)); err != nil {
			return record.Finish(standin.ExitNotRun, "%v", err)
		}
	}
	time.Sleep(time.Second)
	client.Close()
	if err := recordReload(office); err != nil {
		return record.Finish(standin.ExitNotRun, "%v", err)
	}
	return judge(record, asked, reloadAt.Add(toldAfterReload+grace+margin), purgedAt)
}

// reload moves discovery to another address and adds the class registro, as the pages describe it.
func reload(office *standin.Office) error {
	moved, err := standin.StartCoordinator("coordinator-2", office.News, office.Record)
	if err != nil {
		return err
	}
	office.Config["coordinator"] = moved.Addr
	office.Config["settings"] = standin.Settings(3)
	if err := standin.WriteConfig(office.Proxy.ConfigPath, office.Config); err != nil {
		return err
	}
	office.Record.Logf("platform", "new configuration: coordinator %s, class registro added", moved.Addr)
	if err := office.Proxy.Signal(syscall.SIGHUP); err != nil {
		return err
	}
	office.Coordinator.Retire()
	return nil
}

// recordReload records what the proxy says of the new configuration and of the coordinator.
func recordReload(office *standin.Office) error {
	_, stats, err := office.Proxy.Call("GET", "/ops/stats")
	if err != nil {
		return err
	}
	for line := range strings.Lines(stats) {
		if strings.HasPrefix(line, "svc_cfg_") || strings.HasPrefix(line, "svc_registry_") {
			office.Record.Logf("proxy", "%s", strings.TrimSpace(line))
		}
	}
	return nil
}

// judge applies the rule: no request that was sent after the grace is answered from a copy older than the purge.
func judge(record *standin.Record, asked []*standin.Request, from time.Time, purgedAt int64) int {
	served, old := 0, 0
	var last *standin.Request
	for _, r := range asked {
		if r.SentAt.Before(from) || r.Status != "200" {
			continue
		}
		served++
		made := standin.MadeOf(r.Body)
		if made < purgedAt {
			old++
			last = r
			record.Logf("result", "%s, sent %.3f s after the purge, got a copy made %d ms before the purge",
				r.ID, r.SentAt.Sub(time.UnixMilli(purgedAt)).Seconds(), purgedAt-made)
		}
	}
	switch {
	case served == 0:
		return record.Finish(standin.ExitNotRun, "nothing was served after the grace")
	case old == 0:
		return record.Finish(standin.ExitHeld, "all %d answers after the grace are from copies made after the purge", served)
	}
	return record.Finish(standin.ExitBroken,
		"%d of %d answers to requests sent later than %.2f s after the purge are from copies older than it, the last %s",
		old, served, from.Sub(time.UnixMilli(purgedAt)).Seconds(), last.ID)
}
