package policy

import (
	"testing"
	"time"
)

// A configured link capacity is not changed by answers of unknown size, as the load of other routers may have
// slowed them. It is changed by answers of known size, and an assumed capacity by all answers.
func TestConfiguredLinksIgnoreAnswersOfUnknownSize(t *testing.T) {
	for _, c := range []struct {
		configured bool
		sending    time.Duration
		moves      bool
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
		var full *link
		for id := range int64(60) {
			req := h.router.requests[id+1]
			if req == nil || !req.attempts[0].congested {
				continue
			}
			full = req.attempts[0].slowestLink
			h.now += ms
			h.handle(Outcome{ID: id + 1, Result: ResultOK, CacheStatus: CacheStatusFilled,
				Elapsed: 2 * time.Second, FullPaceTransferTime: c.sending, RequestFinished: true})
			break
		}
		if full == nil {
			t.Fatalf("%+v: no link was congested", c)
		}
		if moved := full.capacity != full.nominalCapacity; moved != c.moves {
			t.Errorf("%+v: link capacity %v, nominal %v", c, full.capacity, full.nominalCapacity)
		}
	}
}
