package proxy

import (
	"fmt"
	"testing"

	"cloverdoor/internal/resp"
	"cloverdoor/policy"
)

// Each cache status on the wire is mapped to its own status in the decision module, and an unknown cache status to
// CacheStatusNone.
func TestCacheStatusOfAnswer(t *testing.T) {
	statusOfNote := map[string]policy.CacheStatus{
		"TCP_HIT":       policy.CacheStatusHit,
		"TCP_MISS":      policy.CacheStatusFilled,
		"TCP_MISS_ROOT": policy.CacheStatusFilledByOrigin,
		"TCP_JOIN":      policy.CacheStatusCoalesced,
		"TCP_STALE":     policy.CacheStatusStale,
		"PEER_DENY":     policy.CacheStatusSourceRejected,
		"PEER_DEAD":     policy.CacheStatusSourceFailed,
		"PEER_MISS":     policy.CacheStatusSourceMiss,
		"FILL_FULL":     policy.CacheStatusNoFillCapacity,
		"ROOT_FAIL":     policy.CacheStatusOriginFailed,
		"OTHER":         policy.CacheStatusNone,
	}
	for note, want := range statusOfNote {
		fields := "note=" + note
		text := fmt.Sprintf("*4\r\n$1\r\n1\r\n$6\r\nserved\r\n$%d\r\n%s\r\n$0\r\n\r\n", len(fields), fields)
		_, ans, err := resp.Decode([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		if got := cacheStatuses[ans.CacheStatus]; got != want {
			t.Errorf("%s: %v, want %v", note, got, want)
		}
	}
	for status := resp.CacheStatusHit; status <= resp.CacheStatusOriginFailed; status++ {
		if _, known := cacheStatuses[status]; !known {
			t.Errorf("status %d has no status in the decision module", status)
		}
	}
}
