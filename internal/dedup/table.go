// Package dedup remembers the ids of requests that must not run twice, beyond the end of the request and of its client's
// connection, and for two processes that serve side by side.
//
// A Table is a set-associative hash table of fixed size. Each entry is one machine word, which is changed by
// compare-and-swap: two processes that map the same file never claim the same id both. It does not grow with the number
// of ids: where a bucket is full, its oldest entry gives way.
package dedup

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// retention is the time for which an id is remembered: longer than any request lives.
	retention = 11 * time.Minute

	bucketBits       = 14
	bucketCount      = 1 << bucketBits
	entriesPerBucket = 4
	tableWords       = bucketCount * entriesPerBucket
)

// An entry holds the tag of an id, which is a part of its hash, and the time of its claim; 0: the entry is free.
const (
	timeBits = 24
	timeMask = 1<<timeBits - 1
	timeUnit = 500 * time.Millisecond
)

// Table is a set of ids. Its methods may be called by several goroutines and processes at once.
type Table struct{ entries []uint64 }

// New returns an empty table that is not shared.
func New() *Table { return &Table{entries: make([]uint64, tableWords)} }

// Claim adds an id at a time since the Unix epoch. It returns false if the id is in the table already.
func (t *Table) Claim(id string, now time.Duration) bool {
	bucket, tag := t.locate(id)
	entry := tag | claimTime(now)
	for {
		oldest := &bucket[0]
		oldestEntry := atomic.LoadUint64(oldest)
		for i := range bucket {
			present := atomic.LoadUint64(&bucket[i])
			if present&^timeMask == tag && age(present, now) < retention {
				return false
			}
			if age(present, now) > age(oldestEntry, now) {
				oldest = &bucket[i]
				oldestEntry = present
			}
		}
		if atomic.CompareAndSwapUint64(oldest, oldestEntry, entry) {
			return true
		}
	}
}

// Release removes an id whose request has not run and never will.
func (t *Table) Release(id string) {
	bucket, tag := t.locate(id)
	for i := range bucket {
		present := atomic.LoadUint64(&bucket[i])
		if present&^timeMask == tag {
			atomic.CompareAndSwapUint64(&bucket[i], present, 0) // if it fails, another id has taken the place
		}
	}
}

// locate returns the bucket of an id and its tag, which is never 0.
func (t *Table) locate(id string) (bucket []uint64, tag uint64) {
	hash := xxhash.Sum64String(id)
	first := int(hash&(bucketCount-1)) * entriesPerBucket
	tag = hash &^ timeMask
	if tag == 0 {
		tag = 1 << timeBits
	}
	return t.entries[first : first+entriesPerBucket], tag
}

// claimTime returns the time as it stands in an entry.
func claimTime(now time.Duration) uint64 { return uint64(now/timeUnit) & timeMask }

// age returns the time since the claim of an entry. A free entry is older than any claim.
func age(entry uint64, now time.Duration) time.Duration {
	if entry == 0 {
		return (timeMask + 1) * timeUnit
	}
	return time.Duration((claimTime(now)-entry)&timeMask) * timeUnit
}
