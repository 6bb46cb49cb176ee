package levertimer

import "time"

// Alarm is a subscription that ticks at the time that was set last. It is not
// safe for concurrent use.
type Alarm struct {
	Subscription
	timer *time.Timer
	at    time.Time
}

// farFuture is the delay of an alarm that is not set.
const farFuture = 365 * 24 * time.Hour

// Alarm returns an alarm that is not set.
func (s *Service) Alarm() *Alarm {
	t := time.NewTimer(farFuture)
	s.addActive(1)
	a := &Alarm{timer: t}
	a.C = t.C
	a.stop = func() { t.Stop(); s.addActive(-1) }
	return a
}

// Set changes the time of the alarm. It ticks immediately if that time has
// passed. Setting the same time again has no effect, even after the tick.
func (a *Alarm) Set(at time.Time) {
	if at.Equal(a.at) {
		return
	}
	a.at = at
	a.timer.Reset(time.Until(at))
}
