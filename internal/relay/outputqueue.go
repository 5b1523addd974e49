package relay

import (
	"context"
	"sync"

	"cloverdoor/internal/fault"
)

// maxPendingOutputs is how many outputs of one direction wait for their time. Each has readBufferSize at most,
// plus what a repeat rule sends again.
const maxPendingOutputs = 32

// outputQueue holds the outputs of one direction until its writer takes them, in order. The reader and the rules
// by time put them in.
type outputQueue struct {
	mu      sync.Mutex // held while an output is put in, so that the queue is not closed meanwhile
	closed  bool
	pending chan fault.Output
}

func newOutputQueue() *outputQueue {
	return &outputQueue{pending: make(chan fault.Output, maxPendingOutputs)}
}

// put waits for a place for an output. It reports false once the queue is closed or ctx has ended.
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

// close ends the queue after what is pending.
func (q *outputQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	close(q.pending)
}
