package policy

import (
	"cmp"
	"math"
)

const (
	initialMissPenalty = 100.0 // of the paper, until waits have been measured
)

func (r *Router) chooseSource(req *request, target *endpointState) *endpointState {
	return cmp.Or(r.chooseSibling(req, target), r.chooseParent(req), target)
}

func (r *Router) chooseSibling(req *request, target *endpointState) *endpointState {
	if r.settings.Siblings == SiblingsNone {
		return nil
	}
	var best *endpointState
	lowest, average := math.Inf(1), r.meanMisindication()
	for _, m := range r.ranked(r.caches, req) {
		if m == target || req.avoid[m] || !r.likelyCached(m, req) || !r.eligible(m, req) || r.isEjected(m) ||
			r.secondsOverObjective(m, req) > 0 {
			continue
		}
		misindication := m.misindication.value
		if !m.misindication.known() {
			misindication = average
		}
		if misindication < lowest {
			best, lowest = m, misindication
		}
	}
	if penalty := r.missPenalty(); best != nil && 1+penalty*lowest < penalty {
		return best
	}
	return nil
}

func (r *Router) meanMisindication() float64 {
	sum, count := 0.0, 0.0
	for _, m := range r.caches {
		if m.misindication.known() {
			sum, count = sum+m.misindication.value, count+1
		}
	}
	return sum / max(count, 1)
}

// missPenalty is the paper's beta: the wait for a parent in units of the wait for a sibling.
func (r *Router) missPenalty() float64 {
	if r.parentFirstByteSeconds.value == 0 || r.siblingFirstByteSeconds.value == 0 {
		return initialMissPenalty
	}
	return r.parentFirstByteSeconds.value / r.siblingFirstByteSeconds.value
}

func (r *Router) chooseParent(req *request) *endpointState {
	return r.firstWithCapacity(req, append(r.ranked(r.parents, req), r.origin))
}
