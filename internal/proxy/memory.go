package proxy

// This file bounds the memory that is buffered for clients and caches.

import "cloverdoor/internal/eventloop"

// The memory budget, as parts of the process's memory limit. The rest is the runtime's and the garbage
// collector's.
const (
	rejectDivisor    = 4 // at 1/4 of the limit new requests are rejected
	criticalMultiple = 2 // at twice that, 1/2 of the limit, partial requests are rejected and stalled clients closed
)

// memoryBudget counts the bytes that are buffered for clients and caches, and decides when there are too
// many.
type memoryBudget struct {
	loop          *eventloop.Loop // its buffers count too
	rejectAt      int             // bytes
	requestBodies int             // bytes of the open requests' bodies
	partial       int             // bytes of requests that are not complete yet
}

func newMemoryBudget(loop *eventloop.Loop, limitBytes int) *memoryBudget {
	return &memoryBudget{loop: loop, rejectAt: limitBytes / rejectDivisor}
}

// buffered is how many bytes are kept in all.
func (m *memoryBudget) buffered() int { return m.loop.BufferedBytes() + m.requestBodies + m.partial }

// full reports whether new requests are to be rejected.
func (m *memoryBudget) full() bool { return m.buffered() >= m.rejectAt }

// critical reports whether connections that only hold memory are to be closed.
func (m *memoryBudget) critical() bool { return m.buffered() > criticalMultiple*m.rejectAt }
