package policy

import (
	"testing"
	"time"
)

// A configured link capacity is not changed by answers of unknown size, as the load of other routers may have
// slowed them. Answers of known size do change it, and all answers change an assumed capacity.
func TestConfiguredLinksIgnoreAnswersOfUnknownSize(t *testing.T) {
	for _, c := range []struct {
		configured   bool
		transferTime time.Duration
		learns       bool
	}{{true, 0, false}, {true, 100 * ms, true}, {false, 0, true}} {
		settings := testSettings()
		settings.WeightsConfigured = c.configured
		if !c.configured {
			settings.ZoneLinkTransfers = 0
		}
		h := newHarnessWith(t, settings)
		for id := range int64(60) { // a burst, which makes every link look congested
			h.handle(Request{ID: id + 1, Object: string(rune('a' + id)), Remaining: 3 * time.Second})
		}
		var congestedLink *link
		for id := range int64(60) {
			req := h.router.requests[id+1]
			if req == nil || !req.attempts[0].congested {
				continue
			}
			congestedLink = req.attempts[0].slowestLink
			h.now += ms
			h.handle(Outcome{ID: id + 1, Result: ResultOK, CacheStatus: CacheStatusFilled,
				Elapsed: 2 * time.Second, FullPaceTransferTime: c.transferTime, RequestFinished: true})
			break
		}
		if congestedLink == nil {
			t.Fatalf("%+v: no link was congested", c)
		}
		if learned := congestedLink.capacity != congestedLink.nominalCapacity; learned != c.learns {
			t.Errorf("%+v: link capacity %v, nominal %v, want them to differ if it learns",
				c, congestedLink.capacity, congestedLink.nominalCapacity)
		}
	}
}
