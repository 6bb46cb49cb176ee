// Package leverhistory records the requests and answers of callers and the
// runs of upstreams, and checks the recorded history against the invariants of
// the system. Unit tests, trials in virtual time and trials of separate
// processes use the same checks.
package leverhistory

import (
	"bufio"
	"encoding/json"
	"io"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermodel"
	"arbutuslever.dev/lever/pkg/leverapi"

	"github.com/juju/errors"
)

// Exchange is one request and its outcome as seen by the caller.
type Exchange struct {
	Service leverid.ServiceID `json:"service"`
	ID      leverid.RequestID `json:"id"`
	Rank    leverid.Rank      `json:"rank"`
	// Once marks a request that is not repeatable.
	Once bool `json:"once,omitempty"`
	// Paged marks a request with a limit. Its answer may omit records of a
	// covered shard.
	Paged bool          `json:"paged,omitempty"`
	Sent  time.Time     `json:"sent"`
	Took  time.Duration `json:"took-ns"`
	// Exactly one of the following is set: the answer, the refusal, or the text
	// of the transport error.
	Answer  *leverapi.Answer  `json:"answer,omitempty"`
	Problem *leverapi.Problem `json:"problem,omitempty"`
	Cut     string            `json:"cut,omitempty"`
}

// Drain is the first indication by an upstream that it is draining.
type Drain struct {
	Upstream leverid.UpstreamID `json:"upstream"`
	At       time.Time          `json:"at"`
}

// History is a recorded history of exchanges, runs, drains and events. The zero
// value is empty and ready to use. It is safe for concurrent use.
type History struct {
	mu        sync.Mutex
	exchanges []Exchange
	runs      []levermodel.Run
	drains    []Drain
	events    []leverapi.Event
}

// Add records an exchange.
func (h *History) Add(e Exchange) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.exchanges = append(h.exchanges, e)
}

// AddRun records a run.
func (h *History) AddRun(r levermodel.Run) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs = append(h.runs, r)
}

// AddDrain records that an upstream started to drain.
func (h *History) AddDrain(d Drain) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drains = append(h.drains, d)
}

// AddEvents records events of a VM's timeline.
func (h *History) AddEvents(events []leverapi.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, events...)
}

// Exchanges returns the recorded exchanges in the order in which they were
// added.
func (h *History) Exchanges() []Exchange {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.exchanges
}

// Runs returns the recorded runs in the order in which they were added.
func (h *History) Runs() []levermodel.Run {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.runs
}

// WriteExchanges writes the exchanges as JSON, one object per line.
func (h *History) WriteExchanges(w io.Writer) error {
	e := json.NewEncoder(w)
	for _, x := range h.Exchanges() {
		if err := e.Encode(x); err != nil {
			return err
		}
	}
	return nil
}

// ReadExchanges adds exchanges from the output of WriteExchanges.
func (h *History) ReadExchanges(r io.Reader) error { return readLines(r, h.Add) }

// ReadRuns adds runs from the run log of an upstream.
func (h *History) ReadRuns(r io.Reader) error { return readLines(r, h.AddRun) }

// maxLine is the maximum length of one line, in bytes.
const maxLine = 16 << 20

// readLines reads one JSON object per line. A malformed last line is ignored,
// because the process that wrote it may have been killed during the write.
func readLines[T any](r io.Reader, add func(T)) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		var v T
		if err := json.Unmarshal(s.Bytes(), &v); err != nil {
			if s.Scan() {
				return errors.Annotate(err, "history")
			}
			break
		}
		add(v)
	}
	return s.Err()
}
