package main

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverplatform"
	"arbutuslever.dev/lever/internal/leversettings"

	"github.com/juju/errors"
)

// platformCommand serves a simulated platform until the process is stopped.
type platformCommand struct {
	Settings string `long:"settings" required:"true" description:"settings file"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

// platformSettings is the settings file of the simulated platform.
type platformSettings struct {
	Listen string `json:"listen"`
	Token  string `json:"token"`
	// ProbeMS is the interval between probes of a VM, in milliseconds. Misses is
	// the number of consecutive failed probes that remove it from the VM list.
	ProbeMS int           `json:"probe-ms"`
	Misses  int           `json:"misses"`
	VMs     []levermsg.VM `json:"vms"`
	Objects []storeObject `json:"objects"`
}

// storeObject is an initial object of the store.
type storeObject struct {
	Key   leverid.ObjectKey `json:"key"`
	Value json.RawMessage   `json:"value"`
}

// Execute checks the settings and serves the platform.
func (c *platformCommand) Execute([]string) error {
	s := platformSettings{ProbeMS: 500, Misses: 3}
	if err := leversettings.Load(c.Settings, &s); err != nil {
		return err
	}
	if s.ProbeMS < 1 || s.Misses < 1 {
		return leversettings.KeyErrorf(c.Settings, "probe-ms", "%d with misses %d (want at least 1 for both)", s.ProbeMS, s.Misses)
	}
	if c.Check {
		return nil
	}
	m := &leverplatform.Memory{}
	for _, o := range s.Objects {
		if _, err := m.Put(context.Background(), o.Key, o.Value, 0); err != nil {
			return errors.Annotatef(err, "object %q", o.Key)
		}
	}
	p := &prober{leverplatform.Prober{
		Memory: m, VMs: s.VMs, Misses: s.Misses, Interval: time.Duration(s.ProbeMS) * time.Millisecond,
	}}
	go p.run()
	platformServer := &leverplatform.Server{Memory: m, Token: s.Token}
	server := &http.Server{Addr: s.Listen, Handler: platformServer.Handler(), ReadHeaderTimeout: time.Minute}
	return server.ListenAndServe()
}

// prober gives a leverplatform.Prober a run method, because scripts/lint.sh
// permits goroutines only for methods whose names begin with run or loop.
type prober struct{ leverplatform.Prober }

func (p *prober) run() { p.Run(context.Background()) }
