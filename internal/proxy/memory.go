package proxy

// This file limits the memory that buffers for clients and caches take.

import (
	"math"

	"cloverdoor/internal/eventloop"
)

// The thresholds of the memory budget, relative to the process's memory limit. The rest of the limit is for the
// runtime and the garbage collector.
const (
	rejectDivisor    = 4 // at 1/4 of the limit new requests are rejected
	criticalMultiple = 2 // at 2 * 1/4 = 1/2 of the limit partial requests are rejected and stalled clients closed
	expectedMultiple = 4 // at 4 * 1/4 = all of the limit, expected answers included, new requests are rejected
	// Requests before their admission are limited earlier, so that they leave room for others: at 1/4 * 1/4 = 1/16 of the
	// limit to largePartialShare on each connection, at 1/4 * 1/2 = 1/8 to smallPartialShare.
	partialDivisor      = 4
	smallPartialDivisor = 2
)

const (
	// largePartialShare is room for a request of the largest size.
	largePartialShare = 96 << 10
	// smallPartialShare is room for the parameters of a usual request.
	smallPartialShare = 4 << 10
	// openRequestOverheadBytes is the memory that an open request takes beside its body, with one attempt on a connection
	// of its own.
	openRequestOverheadBytes = 4 << 10
	// clientConnBytes is the memory that a client connection takes beside its buffers and requests.
	clientConnBytes = 2 << 10
)

// answerSizeWeight is the weight of the latest answer in the moving average of the sizes.
const answerSizeWeight = 1.0 / 16

// memoryBudget counts the memory that is taken for clients and caches, from when the bytes arrive, and that of the answers
// that are still to come, and says when it is too much. Buffers count with their capacity, of which a part may be unused.
type memoryBudget struct {
	loop            *eventloop.Loop // its buffers count too
	rejectAt        int             // number of bytes at which new requests are rejected
	clientConns     int             // number of client connections
	openRequests    int             // of the open requests
	partialRequests int             // of partial requests, and of requests blocked by backpressure
	expectedAnswers int             // bytes of the answers that are expected to the open requests

	meanAnswerBytes map[string]float64 // moving average of the sizes of served answers, by class
}

func newMemoryBudget(loop *eventloop.Loop, limitBytes int) *memoryBudget {
	return &memoryBudget{loop: loop, rejectAt: limitBytes / rejectDivisor, meanAnswerBytes: map[string]float64{}}
}

// buffered returns the total number of bytes.
func (m *memoryBudget) buffered() int {
	return m.loop.BufferedBytes() + m.openRequests + m.partialRequests + m.clientConns*clientConnBytes
}

// partialShare returns how many bytes requests before their admission may take on one connection, of which the rest is
// rejected.
func (m *memoryBudget) partialShare() int {
	switch {
	case m.critical():
		return 0
	case m.full(), m.partialRequests > m.rejectAt/smallPartialDivisor:
		return smallPartialShare
	case m.partialRequests > m.rejectAt/partialDivisor:
		return largePartialShare
	}
	return math.MaxInt
}

// reserveAnswer adds the size that is expected of the answer to a request of a class, and returns it. It is 0 as long
// as no request of the class has been served.
func (m *memoryBudget) reserveAnswer(class string) (expectedBytes int) {
	expectedBytes = int(m.meanAnswerBytes[class])
	m.expectedAnswers += expectedBytes
	return expectedBytes
}

// releaseAnswer removes what reserveAnswer has added for a request that has ended.
func (m *memoryBudget) releaseAnswer(expectedBytes int) { m.expectedAnswers -= expectedBytes }

// observeAnswer records the size of a served answer.
func (m *memoryBudget) observeAnswer(class string, bytes int) {
	mean, known := m.meanAnswerBytes[class]
	if !known {
		m.meanAnswerBytes[class] = float64(bytes)
		return
	}
	m.meanAnswerBytes[class] = mean + answerSizeWeight*(float64(bytes)-mean)
}

// full reports whether new requests are to be rejected: too much is buffered, or would be if the clients read none of
// the answers to the open requests.
func (m *memoryBudget) full() bool {
	buffered := m.buffered()
	return buffered >= m.rejectAt || buffered+m.expectedAnswers >= expectedMultiple*m.rejectAt
}

// critical reports whether partial requests are to be rejected and connections of stalled clients closed.
func (m *memoryBudget) critical() bool { return m.buffered() > criticalMultiple*m.rejectAt }
