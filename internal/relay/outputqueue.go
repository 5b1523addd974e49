package relay

import (
	"context"
	"sync"

	"cloverdoor/internal/fault"
)

// maxPendingOutputs is the maximum number of outputs of one direction that wait for their due time. Each holds at most
// readBufferSize bytes, plus what a Repeat rule sends again.
const maxPendingOutputs = 32

// outputQueue holds the outputs of one direction until its writer takes them, in order. They come from the reader
// and from timed rules.
type outputQueue struct {
	mu      sync.Mutex // put holds it while it sends to pending, so that close can't close pending meanwhile
	closed  bool
	pending chan fault.Output
}

func newOutputQueue() *outputQueue {
	return &outputQueue{pending: make(chan fault.Output, maxPendingOutputs)}
}

// put adds an output, and waits while the queue is full. It reports false if the queue is closed or ctx has ended.
func (q *outputQueue) put(ctx context.Context, o fault.Output) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return false
	}
	select {
	case q.pending <- o:
		return true
	case <-ctx.Done():
		return false
	}
}

// close closes the queue. The writer still gets the pending outputs. close must be called only once.
func (q *outputQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	close(q.pending)
}
