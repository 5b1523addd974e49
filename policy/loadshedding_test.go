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
	short, long := 0, 0
	for i := int64(1); i < 400; i++ {
		if send(i*2, 100) == nil {
			short++
		}
		if send(i*2+1, 2000) == nil {
			long++
		}
	}
	if long == 0 || short >= long {
		t.Fatalf("rejected %d short and %d long requests", short, long)
	}
}
