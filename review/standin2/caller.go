package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"arbutuslever.dev/lever/platform/standin"
)

// usualPause is the pause between two usual requests of a caller.
const usualPause = 500 * time.Millisecond

// call is a kind of request that a caller sends.
type call struct {
	method, path, body string
	// wait is the deadline that the request carries.
	wait time.Duration
	// key is the caller's key, or empty.
	key string
}

// caller sends requests to one VM on kept connections, one after the other.
type caller struct {
	review *review
	vm     *vm
	ids    *atomic.Int64
	client http.Client
	// quiet leaves requests with status 200 out of the record.
	quiet bool
}

func newCaller(r *review, v *vm, ids *atomic.Int64) *caller {
	return &caller{review: r, vm: v, ids: ids, client: http.Client{Transport: &http.Transport{}}}
}

// send sends a request and returns its id and the status of the answer, 0 for none.
func (c *caller) send(k call) (id string, status int) {
	id = fmt.Sprintf("r%06d", c.ids.Add(1))
	sent := time.Now()
	status = c.exchange(k, id)
	if !c.quiet || status != http.StatusOK {
		c.review.logf("VM %d: %s %s %s answered with status %d after %s", c.vm.n, id, k.method, k.path, status, time.Since(sent).Round(time.Millisecond))
	}
	return id, status
}

func (c *caller) exchange(k call, id string) int {
	q, err := http.NewRequest(k.method, "http://"+c.vm.address(0)+k.path, bytes.NewReader([]byte(k.body)))
	if err != nil {
		return 0
	}
	q.Host = standin.Host
	q.Header.Set("X-Request-Id", id)
	q.Header.Set("X-Deadline-Ms", strconv.FormatInt(k.wait.Milliseconds(), 10))
	if k.key != "" {
		q.Header.Set("X-Credential", k.key)
	}
	w, err := c.client.Do(q)
	if err != nil {
		return 0
	}
	defer w.Body.Close()
	if _, err := io.Copy(io.Discard, w.Body); err != nil {
		return 0
	}
	return w.StatusCode
}

// loop sends requests with a pause after each until a time.
type loop struct {
	caller *caller
	call   func(i int) call
	pause  time.Duration
	// from is when the first request is sent.
	from, until time.Time
	// statuses counts the answers by status.
	statuses map[int]int
}

func (l *loop) run(wg *sync.WaitGroup) {
	defer wg.Done()
	l.statuses = make(map[int]int)
	time.Sleep(time.Until(l.from))
	for i := 0; time.Now().Before(l.until); i++ {
		_, status := l.caller.send(l.call(i))
		l.statuses[status]++
		time.Sleep(l.pause)
	}
}
