package dedup

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const start = 1_800_000_000 * time.Second // Unix time

// An id is claimed once, until it is released or its retention is over.
func TestClaim(t *testing.T) {
	table := New()
	if !table.Claim("a", start) || table.Claim("a", start) || table.Claim("a", start+retention-time.Second) {
		t.Fatal("the id is not claimed just once within its retention")
	}
	if !table.Claim("b", start) {
		t.Error("another id counts as claimed")
	}
	table.Release("a")
	if !table.Claim("a", start) || table.Claim("b", start) {
		t.Error("the release of an id does not just free that one")
	}
	if !table.Claim("b", start+retention+time.Second) {
		t.Error("an id is remembered for longer than its retention")
	}
}

// Guards against a table that grows, or forgets the newest, with the number of ids: where there are too many, the oldest
// give way.
func TestManyIDs(t *testing.T) {
	const ids, newest = 10 * tableWords, tableWords / 8
	table := New()
	at := func(n int) time.Duration { return start + time.Duration(n)*time.Millisecond }
	for n := range ids {
		table.Claim(fmt.Sprintf("%016x", n), at(n))
	}
	forgotten := 0
	for n := ids - newest; n < ids; n++ {
		if table.Claim(fmt.Sprintf("%016x", n), at(ids)) {
			forgotten++
		}
	}
	t.Logf("%d of the newest %d ids are forgotten", forgotten, newest)
	if forgotten > newest/100 {
		t.Errorf("%d of the newest %d ids are forgotten, want at most 1%%", forgotten, newest)
	}
}

// Tables in one file share their ids, and an id is claimed by one of them only.
func TestSharedTable(t *testing.T) {
	const rounds, ids = 50, 500 // so few that no bucket is full
	for round := range rounds {
		path := filepath.Join(t.TempDir(), fmt.Sprint("ids", round))
		var claims atomic.Int64
		var both sync.WaitGroup
		for range 2 {
			table, err := Open(path)
			if err != nil {
				t.Fatal(err)
			}
			both.Go(func() {
				for n := range ids {
					if table.Claim(fmt.Sprint(n), start) {
						claims.Add(1)
					}
				}
			})
		}
		both.Wait()
		if claims.Load() != ids {
			t.Fatalf("%d claims of %d ids by two tables in one file", claims.Load(), ids)
		}
	}
}

// A file that is no table is left alone.
func TestOpenOfAnotherFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ids")
	if err := os.WriteFile(path, []byte("text"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(path); err == nil {
		t.Error("a file of another size is taken for a table")
	}
	if text, err := os.ReadFile(path); err != nil || string(text) != "text" {
		t.Errorf("the file has become %q, error %v", text, err)
	}
}
