package policy

import "testing"

// A result shows that an attempt never ran only where the target cannot have carried it out; unknown results
// do not.
func TestStateAfterResult(t *testing.T) {
	for result, want := range map[Result]attemptState{
		ResultOK:            attemptSucceeded,
		ResultRejected:      attemptNeverRan,
		ResultConnectFailed: attemptNeverRan,
		ResultNotSent:       attemptNeverRan,
		ResultNotFound:      attemptNeverRan,
		ResultError:         attemptFailed,
		ResultReset:         attemptFailed,
		ResultTimeout:       attemptTimedOut,
		ResultCancelled:     attemptCancelled,
		Result(99):          attemptTimedOut,
	} {
		if got := stateAfter(result); got != want {
			t.Errorf("%v: state %d, want %d", result, got, want)
		}
	}
}
