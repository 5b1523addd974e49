package simwire

import "cloverdoor/policy"

// stateOf maps the simulator's numbers for states of endpoints. Any other number means policy.Removed.
var stateOf = map[int]policy.State{
	1: policy.Draining,
	2: policy.Ready,
}

// resultOf maps the simulator's numbers for results of attempts. Any other number means policy.ResultError, as
// the attempt may have been executed.
var resultOf = map[int]policy.Result{
	0:   policy.ResultOK,
	2:   policy.ResultNotFound,
	5:   policy.ResultError,
	11:  policy.ResultRejected,
	104: policy.ResultReset,
	110: policy.ResultTimeout,
	111: policy.ResultConnectFailed,
	114: policy.ResultNotSent,
	125: policy.ResultCancelled,
}

// cacheStatusOf converts a cache status, which package policy numbers as the simulator does. Any other number
// means policy.CacheStatusNone.
func cacheStatusOf(number int) policy.CacheStatus {
	if number < int(policy.CacheStatusNone) || number > int(policy.CacheStatusOriginFailed) {
		return policy.CacheStatusNone
	}
	return policy.CacheStatus(number)
}

// decodeEndpoints converts a list of endpoints.
func decodeEndpoints(list []endpoint) []policy.Endpoint {
	endpoints := make([]policy.Endpoint, 0, len(list))
	for _, e := range list {
		endpoints = append(endpoints, policy.Endpoint{
			ID:      e.ID,
			State:   stateOf[e.State],
			Started: e.Started.duration(),
			Kind:    e.Kind,
			Zone:    e.Zone,
			Weight:  e.Weight,
			Cell:    e.Cell,
		})
	}
	return endpoints
}

// decodeEvent converts an event for one instance. It returns nil for an unknown event and for an endpoint update
// that failed.
func (h *Host) decodeEvent(e *event) policy.Event {
	switch e.Name {
	case eventEndpointUpdate:
		return h.decodeEndpointUpdate(e)
	case eventRequest:
		return policy.Request{
			ID:        e.Request,
			Object:    e.Object,
			Part:      int(e.Part),
			Group:     int(e.Group),
			Class:     e.Class,
			SizeKB:    e.SizeKB,
			Remaining: e.Remaining.duration(),
		}
	case eventOutcome:
		return policy.Outcome{
			ID:              e.Request,
			Attempt:         e.Attempt,
			Result:          resultOf[e.Result],
			CacheStatus:     cacheStatusOf(e.CacheStatus),
			Elapsed:         e.Elapsed.duration(),
			SourceFirstByte: e.SourceFirstByte.duration(),
			RequestFinished: e.RequestFinished,
		}
	case eventStreamStarted:
		return policy.StreamStarted{ID: e.Request, Attempt: e.Attempt}
	case eventPurge:
		return policy.Purge{Object: e.Object, Group: int(e.Group), Age: e.Age.duration()}
	case eventClientDisconnected:
		return policy.RequestEnded{ID: e.Request}
	case eventTimerFired:
		return policy.TimerFired{Token: e.Token}
	}
	return nil
}

// decodeEndpointUpdate converts an endpoint update, with the numbered list that it refers to. It returns nil if
// the update failed, which is the meaning of every unknown mode.
func (h *Host) decodeEndpointUpdate(e *event) policy.Event {
	switch e.UpdateMode {
	case updateChanges:
		return policy.EndpointUpdate{Endpoints: h.endpointLists[e.ListNumber]}
	case updateFull, updateFullCached:
		return policy.EndpointUpdate{Full: true, Endpoints: h.endpointLists[e.ListNumber]}
	}
	return nil
}
