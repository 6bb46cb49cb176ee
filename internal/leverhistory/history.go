// Package leverhistory records what callers sent and got and what upstreams
// ran, and checks the record against what must always hold. The same checks
// serve unit tests, trials in virtual time and trials of whole processes.
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

// Exchange is one request as its caller saw it.
type Exchange struct {
	Service leverid.ServiceID `json:"service"`
	ID      leverid.RequestID `json:"id"`
	Rank    leverid.Rank      `json:"rank"`
	Once    bool              `json:"once,omitempty"`
	// Paged marks a request with a limit, whose answer need not hold all
	// records of a shard.
	Paged bool          `json:"paged,omitempty"`
	Sent  time.Time     `json:"sent"`
	Took  time.Duration `json:"took-ns"`
	// One of the following is set: an answer, a refusal, or the text of a
	// fault on the way.
	Answer  *leverapi.Answer  `json:"answer,omitempty"`
	Problem *leverapi.Problem `json:"problem,omitempty"`
	Cut     string            `json:"cut,omitempty"`
}

// Drain is an upstream's first sign that it is leaving.
type Drain struct {
	Upstream leverid.UpstreamID `json:"upstream"`
	At       time.Time          `json:"at"`
}

// History is a record. The zero value is empty and ready to use. It is safe
// for concurrent use.
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

// AddDrain records that an upstream began to leave.
func (h *History) AddDrain(d Drain) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drains = append(h.drains, d)
}

// AddEvents records a VM's time line.
func (h *History) AddEvents(events []leverapi.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, events...)
}

// Exchanges returns the exchanges.
func (h *History) Exchanges() []Exchange {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.exchanges
}

// Runs returns the runs.
func (h *History) Runs() []levermodel.Run {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.runs
}

// WriteExchanges writes the exchanges, one JSON object a line.
func (h *History) WriteExchanges(w io.Writer) error {
	e := json.NewEncoder(w)
	for _, x := range h.Exchanges() {
		if err := e.Encode(x); err != nil {
			return err
		}
	}
	return nil
}

// ReadExchanges adds the exchanges that WriteExchanges wrote.
func (h *History) ReadExchanges(r io.Reader) error { return readLines(r, h.Add) }

// ReadRuns adds the runs of a run log.
func (h *History) ReadRuns(r io.Reader) error { return readLines(r, h.AddRun) }

const maxLine = 16 << 20

// readLines reads one JSON object a line. A last line that was cut off by the
// end of a process is passed over.
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
