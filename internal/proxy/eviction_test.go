package proxy

import (
	"testing"
	"time"
)

// Eviction classes are in the order of eviction, and need the longer an idle time the later they are evicted.
func TestEvictionClasses(t *testing.T) {
	classes := []evictionClass{silentClient, idleClient, partialClient}
	last := time.Duration(0)
	for i, class := range classes {
		if int(class) != i {
			t.Errorf("class %d is in place %d", class, i)
		}
		if class.minIdleTime() <= last {
			t.Errorf("class %d is evicted after %v, the one before after %v", class, class.minIdleTime(), last)
		}
		last = class.minIdleTime()
	}
}
