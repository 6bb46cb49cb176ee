package main

import (
	"encoding/json"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermodel"
	"arbutuslever.dev/lever/internal/leversettings"

	"github.com/juju/errors"
)

// upstreamCommand serves one simulated upstream until the process is stopped or
// crashes.
type upstreamCommand struct {
	Settings string `long:"settings" required:"true" description:"settings file of the fleet"`
	ID       string `long:"id" required:"true" description:"id of the upstream in the settings file"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

// fleetSettings is the settings file of the simulated upstreams, which the
// upstreams share. Its Behaviour applies to each of them.
type fleetSettings struct {
	Seed      uint64               `json:"seed"`
	RunLog    string               `json:"run-log"`
	Upstreams []fleetUpstream      `json:"upstreams"`
	Behaviour levermodel.Behaviour `json:"behaviour"`
}

// fleetUpstream holds the settings of one upstream. Slots, Backlog, Shards and
// MedianMS replace those of the common behaviour.
type fleetUpstream struct {
	ID      leverid.UpstreamID `json:"id"`
	Listen  string             `json:"listen"`
	Slots   int                `json:"slots"`
	Backlog int                `json:"backlog"`
	// Connections is the maximum number of open connections. ConnectCost is the
	// time that opening one takes, in milliseconds.
	Connections int                          `json:"connections"`
	ConnectCost float64                      `json:"connect-cost-ms"`
	MedianMS    float64                      `json:"median-ms"`
	Shards      map[leverid.IndexVersion]int `json:"shards"`
}

// Execute checks the settings and serves the upstream.
func (c *upstreamCommand) Execute([]string) error {
	var s fleetSettings
	if err := leversettings.Load(c.Settings, &s); err != nil {
		return err
	}
	u, err := s.find(c.ID)
	if err != nil || c.Check {
		return err
	}
	log, err := openRunLog(s.RunLog)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", u.Listen)
	if err != nil {
		return errors.Annotate(err, "upstream")
	}
	b := s.Behaviour
	b.Slots, b.Backlog, b.Shards = u.Slots, u.Backlog, u.Shards
	b.Median = time.Duration(u.MedianMS * float64(time.Millisecond))
	model := levermodel.NewUpstream(u.ID, b, s.Seed, log.add)
	modelServer := &levermodel.Server{Upstream: model, OnCrash: log.exitCrashed}
	server := &http.Server{Handler: modelServer.Handler(), ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	return server.Serve(&levermodel.Listener{
		Listener: ln, Limit: u.Connections, Cost: time.Duration(u.ConnectCost * float64(time.Millisecond)),
	})
}

func (s *fleetSettings) find(id string) (*fleetUpstream, error) {
	for i := range s.Upstreams {
		if string(s.Upstreams[i].ID) == id {
			return &s.Upstreams[i], nil
		}
	}
	return nil, errors.NotFoundf("upstream %q in the settings", id)
}

// runLog appends each run to a file as JSON, one object per line. Without a
// file it discards them.
type runLog struct {
	mu sync.Mutex
	f  *os.File
}

func openRunLog(path string) (*runLog, error) {
	if path == "" {
		return &runLog{}, nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Annotate(err, "run log")
	}
	return &runLog{f: f}, nil
}

func (l *runLog) add(r levermodel.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.f == nil {
		return
	}
	b, err := json.Marshal(r)
	if err != nil {
		return
	}
	// Each line is a single write, so that several processes can append to the
	// same file.
	if _, err := l.f.Write(append(b, '\n')); err != nil {
		os.Stderr.WriteString("leverstandin: run log: " + err.Error() + "\n")
	}
}

// exitCrashed ends the process as a crash of the upstream would.
func (l *runLog) exitCrashed() {
	const crashStatus = 70
	os.Exit(crashStatus)
}
