package leverengine

// recordLoad records the load that the upstream of an attempt states. A response of
// another upstream says nothing about the expected one.
func (a *attempt) recordLoad() {
	p := a.placed.Load()
	if p == nil || a.meta.WrongUpstream {
		return
	}
	e, now := a.fanout.engine, a.fanout.engine.Timer.Now()
	if a.meta.Load.Stated() {
		e.Health.ObserveLoad(p.upstream, a.meta.Load, now)
	}
	if a.meta.OddLoad != "" && e.Health.FirstOddLoad(p.upstream, now) {
		e.recordBelief("an upstream states an invalid load", "odd-load", p.upstream, "load", a.meta.OddLoad, "id", a.fanout.req.ID)
	}
}
