package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// host is the host name of the routes.
const host = "pupu76.example"

// exchange is a request and its answer as the caller saw them.
type exchange struct {
	id, path, vm string
	sent         time.Time
	took         time.Duration
	// status is 0 if the connection ended without an answer.
	status     int
	retryAfter time.Duration
	body       string
}

// callers sends requests and keeps what was answered. It is safe for concurrent
// use.
type callers struct {
	fleet *fleet
	seed  uint64
	n     atomic.Int64

	mu   sync.Mutex
	done []exchange
}

// send sends one request on a new connection and waits for its answer.
func (c *callers) send(v *vm, method, path, body string, wait time.Duration) exchange {
	x := exchange{id: fmt.Sprintf("%04x%012x", c.seed&0xffff, c.n.Add(1)), path: path, vm: v.name(), sent: time.Now()}
	c.exchange(&x, v, method, body, wait)
	x.took = time.Since(x.sent)
	c.mu.Lock()
	c.done = append(c.done, x)
	c.mu.Unlock()
	return x
}

func (c *callers) exchange(x *exchange, v *vm, method, body string, wait time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), wait+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+v.front()+x.path, bytes.NewReader([]byte(body)))
	if err != nil {
		return
	}
	req.Host = host
	req.Header.Set("X-Request-Id", x.id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return
	}
	x.status, x.body = resp.StatusCode, string(b)
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		x.retryAfter = time.Duration(s * float64(time.Second))
	}
}

// all returns the exchanges so far.
func (c *callers) all() []exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]exchange(nil), c.done...)
}
