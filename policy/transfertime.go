package policy

func (r *Router) updateTransferTimes(a *attempt, o Outcome) {
	req, work := a.request, o.TransferTime.Seconds()
	if work == 0 && o.servedFromCache() && a.targetSeconds < congestedMultiple*req.transferSeconds {
		work = o.Elapsed.Seconds()
	}
	if work > 0 && o.Result == ResultOK && req.SizeKB == 0 && !req.class.Uncacheable {
		r.classTransferSeconds[req.class.Name].add(work, requestSamples)
		r.partTransferSeconds.Add(req.key, work)
	}
}
