package proxy

import (
	"testing"
	"time"
)

// Eviction classes are numbered in the order of eviction. Classes that are evicted later require a longer idle
// time.
func TestEvictionClasses(t *testing.T) {
	classes := []evictionClass{unusableClient, silentClient, idleClient, partialClient}
	previousIdleTime := time.Duration(0)
	for i, class := range classes {
		if int(class) != i {
			t.Errorf("class %d is evicted as number %d", class, i)
		}
		if class.minIdleTime() <= previousIdleTime {
			t.Errorf("class %d may be evicted after %v, the class before it after %v",
				class, class.minIdleTime(), previousIdleTime)
		}
		previousIdleTime = class.minIdleTime()
	}
}
