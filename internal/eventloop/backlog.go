package eventloop

import "time"

const (
	// backlogBytes is the amount of input, read in one turn, behind which the peer's system may hold more: somewhat less than
	// the smallest receive window in use.
	backlogBytes = 60_000

	// backlogSettleTime is the time after a read within which a peer's system sends more of what it holds.
	backlogSettleTime = 5 * time.Millisecond

	// stallTime is the wait of input from which on it has piled up, on this host and on the peer's.
	stallTime = 30 * time.Millisecond

	// maxBacklogTime is the longest time after a stall for which a peer that never pauses counts as sending what has piled
	// up.
	maxBacklogTime = 250 * time.Millisecond
)

// inputBacklog tells since when input of a peer may have waited that has not been read. It may wait on this host, or on
// the peer's, whose system sends the rest of much input once this host has room for it.
type inputBacklog struct {
	since   Timestamp     // 0: none waits
	foundAt Timestamp     // when since was set
	waited  time.Duration // for how long the input had waited then
	readAt  Timestamp     // when input was last read
	left    bool          // that read has left input on this host
}

// recordRead records that the reads of a turn have ended, with bytesRead bytes of input that had waited for a time. left
// says whether they ended before all input on this host had been read.
func (b *inputBacklog) recordRead(now Timestamp, waited time.Duration, bytesRead int, left bool) {
	continues := b.since != 0 && (b.left || b.followsStall(now))
	switch {
	case continues:
	case left || bytesRead >= backlogBytes:
		*b = inputBacklog{since: now - waited, foundAt: now, waited: waited}
	default:
		b.since = 0
	}
	b.readAt = now
	b.left = left
}

// followsStall reports whether input that is read now may have piled up in the stall after which the backlog was found.
func (b *inputBacklog) followsStall(now Timestamp) bool {
	return b.waited >= stallTime && now-b.readAt <= backlogSettleTime && now-b.foundAt <= maxBacklogTime
}

// UnreadInputSince returns the time since which input of the peer may wait that has not been read; 0: none does. The peer's
// end may wait behind it.
func (c *Conn) UnreadInputSince() Timestamp {
	if !c.backlog.left && c.loop.clock.Now()-c.backlog.readAt > backlogSettleTime {
		return 0
	}
	return c.backlog.since
}
