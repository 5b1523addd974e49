package proxy

// This file tells which endpoint is at an address: an address does not identify a server, as a new one may take over that of
// one that has gone before the end of the old one is told.

import (
	"net/netip"
	"slices"
)

// addressOwners holds the endpoints in use by their addresses. Several that started at the same time, or long ago, may share
// one. The zero value is ready for use.
type addressOwners struct {
	owners    map[netip.AddrPort][]string // ids of endpoints
	addresses map[string]netip.AddrPort   // by id of an endpoint
}

// set records the address of an endpoint in use.
func (a *addressOwners) set(id string, addr netip.AddrPort) {
	if a.addresses[id] == addr {
		return
	}
	if a.addresses == nil {
		a.owners = map[netip.AddrPort][]string{}
		a.addresses = map[string]netip.AddrPort{}
	}
	a.remove(id)
	a.addresses[id] = addr
	a.owners[addr] = append(a.owners[addr], id)
}

// remove forgets an endpoint.
func (a *addressOwners) remove(id string) {
	addr, known := a.addresses[id]
	if !known {
		return
	}
	delete(a.addresses, id)
	others := slices.DeleteFunc(a.owners[addr], func(other string) bool { return other == id })
	if len(others) == 0 {
		delete(a.owners, addr)
		return
	}
	a.owners[addr] = others
}

// others returns the endpoints at an address other than one.
func (a *addressOwners) others(addr netip.AddrPort, id string) (ids []string) {
	for _, other := range a.owners[addr] {
		if other != id {
			ids = append(ids, other)
		}
	}
	return ids
}
