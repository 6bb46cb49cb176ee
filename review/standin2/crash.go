package main

import (
	"slices"
	"strings"
	"time"

	"arbutuslever.dev/lever/platform/standin"
)

const (
	// upstreamAway is how long a crashed upstream is away.
	upstreamAway = 3 * time.Second
	// stableWindow and allowedRetries are those of the rule.
	stableWindow   = 4 * time.Second
	allowedRetries = 3
)

// restarter starts a crashed upstream again, as another run under its id.
type restarter struct {
	review   *review
	platform *standin.Platform
	upstream *standin.Upstream
}

func (s *restarter) run() {
	time.Sleep(upstreamAway)
	s.upstream.Renew()
	if err := s.platform.Start(s.upstream); err != nil {
		s.review.logf("%s does not start: %v", s.upstream.ID, err)
		return
	}
	if err := s.platform.Register(s.upstream, "ready"); err != nil {
		s.review.logf("%s is not registered: %v", s.upstream.ID, err)
	}
	s.review.logf("%s is back", s.upstream.ID)
}

// crashable makes crashed upstreams start again.
func crashable(r *review, p *standin.Platform) {
	for _, u := range p.Upstreams() {
		stop := u.OnCrash
		u.OnCrash = func(u *standin.Upstream) {
			r.logf("%s crashes", u.ID)
			stop(u)
			s := &restarter{r, p, u}
			go s.run()
		}
	}
}

// judgePoison reports whether a request has reached upstreams more often than the rule
// allows later than stableWindow after its third crash.
func judgePoison(r *review, p *standin.Platform, path string) bool {
	var runs []time.Time
	for _, u := range p.Upstreams() {
		for _, a := range u.Runs() {
			if strings.HasPrefix(a.Path, path) {
				runs = append(runs, a.At)
			}
		}
	}
	slices.SortFunc(runs, time.Time.Compare)
	if !strings.Contains(path, "poison") {
		r.logf("%s: ran %d times and crashed nothing", path, len(runs))
		return false
	}
	late := 0
	for _, at := range runs {
		if len(runs) > 2 && at.After(runs[2].Add(stableWindow)) {
			late++
		}
	}
	r.logf("%s: crashed %d upstreams, %d of them over %s after the third; %d are allowed", path, len(runs), late, stableWindow, allowedRetries)
	return late > allowedRetries
}
