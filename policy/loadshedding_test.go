package policy

import (
	"testing"
	"time"
)

// On a congested link, long requests are shed before short ones of the same weight.
func TestSheddingByWeightPerTransferTime(t *testing.T) {
	h := newHarness(t)
	send := func(id int64, kb float64) *Fetch {
		return fetchOf(h.handle(Request{ID: id, Object: "x", SizeKB: kb, Remaining: 5 * time.Second}))
	}
	shortRejected, longRejected := 0, 0
	for i := int64(1); i < 400; i++ {
		if send(i*2, 100) == nil {
			shortRejected++
		}
		if send(i*2+1, 2000) == nil {
			longRejected++
		}
	}
	if longRejected == 0 || shortRejected >= longRejected {
		t.Fatalf("rejected %d short and %d long requests", shortRejected, longRejected)
	}
}
