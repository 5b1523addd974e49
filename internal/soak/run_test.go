package soak

import "testing"

// TestFreeAddrReturnsEachAddressOnce checks that freeAddr returns no address twice: the system may offer one again
// until a program opens it.
func TestFreeAddrReturnsEachAddressOnce(t *testing.T) {
	const draws = 3000
	seen := map[string]bool{}
	for range draws {
		addr := freeAddr("127.77.77.77:0")
		if addr == "" || seen[addr] {
			t.Fatalf("%q after %d", addr, len(seen))
		}
		seen[addr] = true
	}
}
