package leverentry

import (
	"sync"

	"arbutuslever.dev/lever/internal/leverid"
)

// quota bounds the requests in flight on one VM, in all and for each service.
// The zero value is ready to use.
type quota struct {
	mu        sync.Mutex
	total     int
	byService map[leverid.ServiceID]int
}

// enter reports whether a request may go on; if so, leave must follow.
func (q *quota) enter(s leverid.ServiceID, limit int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	own := max(int(float64(limit)*quotaPart), 1)
	if q.total >= limit || q.byService[s] >= own {
		return false
	}
	if q.byService == nil {
		q.byService = make(map[leverid.ServiceID]int)
	}
	q.total++
	q.byService[s]++
	return true
}

func (q *quota) leave(s leverid.ServiceID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.total--
	q.byService[s]--
	if q.byService[s] == 0 {
		delete(q.byService, s)
	}
}
