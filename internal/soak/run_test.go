package soak

import "testing"

// TestFreeAddrReturnsEachAddressOnce checks that freeAddr does not return an address twice. The system may offer one
// again until a program listens on it.
func TestFreeAddrReturnsEachAddressOnce(t *testing.T) {
	const draws = 3000
	seen := map[string]bool{}
	for range draws {
		addr := freeAddr("127.77.77.77:0")
		if addr == "" || seen[addr] {
			t.Fatalf("freeAddr returned %q after %d other addresses", addr, len(seen))
		}
		seen[addr] = true
	}
}
