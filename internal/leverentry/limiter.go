package leverentry

import (
	"sync"

	"arbutuslever.dev/lever/internal/leverid"
)

// limiter bounds the number of requests in flight on one VM, in total and per
// service. The zero value is ready to use. It is safe for concurrent use.
type limiter struct {
	mu        sync.Mutex
	total     int
	byService map[leverid.ServiceID]int
}

// acquire counts a request to s as in flight, unless that would exceed limit
// or the service's share of it, and reports whether it did. If it returns
// true, the caller must call release when the request ends.
func (l *limiter) acquire(s leverid.ServiceID, limit int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	serviceLimit := max(int(float64(limit)*maxServiceFraction), 1)
	if l.total >= limit || l.byService[s] >= serviceLimit {
		return false
	}
	if l.byService == nil {
		l.byService = make(map[leverid.ServiceID]int)
	}
	l.total++
	l.byService[s]++
	return true
}

func (l *limiter) release(s leverid.ServiceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total--
	l.byService[s]--
	if l.byService[s] == 0 {
		delete(l.byService, s)
	}
}
