// Package simwire translates between the simulator's JSON lines and the events and actions of package policy.
// It decides nothing.
package simwire
