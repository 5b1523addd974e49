// Package simwire translates between the simulator's messages and the events and actions of package policy.
// It makes no decisions of its own.
//
// The simulator writes batches, one JSON object per line: a time, and the events of all router instances at
// that time. Each batch is answered by a line with the instances' actions, which take effect at the same time.
// The names on the wire are the simulator's; this package alone maps them to the terms that the rest of the
// program uses.
package simwire
