package policy

import (
	"testing"
	"time"
)

// A link whose size is told keeps it where answers come of unknown size: what is not known then is the load that others
// put on it. One whose size is a guess follows its answers, and so does any link where their sizes are known.
func TestConfiguredLinksIgnoreAnswersOfUnknownSize(t *testing.T) {
	for _, c := range []struct {
		told    bool
		sending time.Duration
		moves   bool
	}{{true, 0, false}, {true, 100 * ms, true}, {false, 0, true}} {
		set := testSettings()
		set.WeightsConfigured = c.told
		if !c.told {
			set.ZoneLinkTransfers = 0
		}
		h := &harness{t: t, router: New(set, 1), now: time.Hour}
		h.do(allEndpoints())
		for id := range int64(60) { // a burst: every link on the way is taken to be full
			h.do(Request{ID: id + 1, Object: string(rune('a' + id)), Remaining: 3 * time.Second})
		}
		var full *link
		for id := range int64(60) {
			req := h.router.requests[id+1]
			if req == nil || !req.attempts[0].congested {
				continue
			}
			full = req.attempts[0].slowestLink
			h.now += ms
			h.do(Outcome{ID: id + 1, Result: ResultOK, CacheStatus: CacheStatusFilled, Elapsed: 2 * time.Second, TransferTime: c.sending, RequestFinished: true})
			break
		}
		if full == nil {
			t.Fatalf("%+v: no link was full", c)
		}
		if moved := full.capacity != full.nominalCapacity; moved != c.moves {
			t.Errorf("%+v: the link is taken for %v of %v transfers", c, full.capacity, full.nominalCapacity)
		}
	}
}
