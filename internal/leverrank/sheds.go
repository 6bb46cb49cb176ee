package leverrank

import (
	"time"

	"arbutuslever.dev/lever/internal/leverid"
)

// shedWindow is how long a request that an upstream has declined is evidence of
// overload.
const shedWindow = 2 * limitWindow

// sheds decides whether upstreams decline requests because of overload. One upstream
// alone may do so for other reasons, and lowering the limit would not help: it would fall
// to nothing. The zero value is ready to use.
type sheds struct {
	byService map[leverid.ServiceID]shedPair
}

// shedPair holds the last upstream of a service that has declined a request, and the last
// one other than that.
type shedPair struct{ last, other shed }

type shed struct {
	upstream leverid.UpstreamID
	at       time.Time
}

// observe records that an upstream has declined a request, and reports whether another
// one of the service has done so recently.
func (s *sheds) observe(service leverid.ServiceID, upstream leverid.UpstreamID, now time.Time) bool {
	if s.byService == nil {
		s.byService = make(map[leverid.ServiceID]shedPair)
	}
	p := s.byService[service]
	if p.last.upstream != upstream {
		p.other = p.last
	}
	p.last = shed{upstream, now}
	s.byService[service] = p
	return p.other.upstream != "" && now.Sub(p.other.at) < shedWindow
}

// ObserveShed records that an upstream of a service has declined a call. lost says that
// nothing else has done the call's work.
func (l *Limiter) ObserveShed(service leverid.ServiceID, upstream leverid.UpstreamID, lost bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	if l.sheds.observe(service, upstream, now) && lost {
		l.refused++
	}
}
