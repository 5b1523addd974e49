package policy

import "testing"

// Whatever the result of its attempts, a request gets one final answer and is removed.
func TestEveryRequestIsFinishedOnce(t *testing.T) {
	for _, result := range []Result{ResultError, ResultRejected, ResultTimeout, ResultConnectFailed,
		ResultReset,
		ResultCancelled, ResultNotSent, ResultNotFound} {
		for class := 0; class < 3; class++ {
			h := newHarness(t)
			actions := h.request(1, "x", class)
			finalAnswers := countFinalAnswers(actions)
			for attempt := 0; fetchOf(actions) != nil; attempt++ {
				h.now += 600 * ms
				actions = h.handle(Outcome{ID: 1, Attempt: attempt, Result: result, Elapsed: 600 * ms})
				finalAnswers += countFinalAnswers(actions)
			}
			if finalAnswers != 1 || len(h.router.requests) != 0 {
				t.Errorf("result %v, class %d: %d final answers, %d open requests", result, class,
					finalAnswers, len(h.router.requests))
			}
		}
	}
}

// A request of an unknown class gets its one final answer.
func TestUnknownClassIsAnswered(t *testing.T) {
	h := newHarness(t)
	if actions := h.request(1, "x", 9); len(actions) != 1 ||
		actions[0] != (Fail{ID: 1, Reason: ReasonUnknownClass}) {
		t.Fatalf("got %+v, want one Fail", actions)
	}
}
