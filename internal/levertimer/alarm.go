package levertimer

import "time"

// Alarm is a subscription whose time can be moved. It is not safe for
// concurrent use.
type Alarm struct {
	Subscription
	timer *time.Timer
	at    time.Time
}

// never is long enough for an alarm that is not set.
const never = 365 * 24 * time.Hour

// Alarm returns an alarm that is not set.
func (s *Service) Alarm() *Alarm {
	t := time.NewTimer(never)
	s.add(1)
	a := &Alarm{timer: t}
	a.C = t.C
	a.stop = func() { t.Stop(); s.add(-1) }
	return a
}

// Set moves the alarm to at. A time that has passed rings at once.
func (a *Alarm) Set(at time.Time) {
	if at.Equal(a.at) {
		return
	}
	a.at = at
	a.timer.Reset(time.Until(at))
}
