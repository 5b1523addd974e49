package policy

func (r *Router) observeSize(a *attempt, o Outcome) {
	req, work := a.request, o.TransferTime.Seconds()
	if work == 0 && o.fromCopy() && a.targetTime < congestedFrom*req.work {
		work = o.Elapsed.Seconds()
	}
	if work > 0 && o.Result == ResultOK && req.SizeKB == 0 && !req.class.Uncacheable {
		r.classWork[req.class.Name].add(work, requestSamples)
		r.partWork.Add(req.key, work)
	}
}
