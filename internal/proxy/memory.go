package proxy

// This file limits the memory that buffers for clients and caches take.

import "cloverdoor/internal/eventloop"

// The thresholds of the memory budget, relative to the process's memory limit. The rest of the limit is for the
// runtime and the garbage collector.
const (
	rejectDivisor    = 4 // at 1/4 of the limit new requests are rejected
	criticalMultiple = 2 // at 2 * 1/4 = 1/2 of the limit partial requests are rejected and stalled clients closed
)

// memoryBudget counts the bytes that are buffered for clients and caches, and says when there are too many.
type memoryBudget struct {
	loop            *eventloop.Loop // its buffers count too
	rejectAt        int             // number of buffered bytes at which new requests are rejected
	requestBodies   int             // bytes of the open requests' bodies
	partialRequests int             // bytes of partial requests, and of requests blocked by backpressure
}

func newMemoryBudget(loop *eventloop.Loop, limitBytes int) *memoryBudget {
	return &memoryBudget{loop: loop, rejectAt: limitBytes / rejectDivisor}
}

// buffered returns the total number of buffered bytes.
func (m *memoryBudget) buffered() int {
	return m.loop.BufferedBytes() + m.requestBodies + m.partialRequests
}

// full reports whether new requests are to be rejected.
func (m *memoryBudget) full() bool { return m.buffered() >= m.rejectAt }

// critical reports whether partial requests are to be rejected and connections of stalled clients closed.
func (m *memoryBudget) critical() bool { return m.buffered() > criticalMultiple*m.rejectAt }
