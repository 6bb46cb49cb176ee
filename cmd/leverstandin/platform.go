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

// platformCommand plays the platform until it is stopped.
type platformCommand struct {
	Settings string `long:"settings" required:"true" description:"settings file"`
	Check    bool   `long:"check" description:"only check the settings"`
}

// platformSettings describe the platform that is played.
type platformSettings struct {
	Listen string `json:"listen"`
	Token  string `json:"token"`
	// ProbeMS is how often each VM is asked, Misses how often it may not
	// answer.
	ProbeMS int            `json:"probe-ms"`
	Misses  int            `json:"misses"`
	VMs     []levermsg.VM  `json:"vms"`
	Objects []platformSeed `json:"objects"`
}

// platformSeed is an object that is there from the start.
type platformSeed struct {
	Key   leverid.ObjectKey `json:"key"`
	Value json.RawMessage   `json:"value"`
}

// Execute runs the command.
func (c *platformCommand) Execute([]string) error {
	s := platformSettings{ProbeMS: 500, Misses: 3}
	if err := leversettings.Load(c.Settings, &s); err != nil {
		return err
	}
	if s.ProbeMS < 1 || s.Misses < 1 {
		return leversettings.KeyError(c.Settings, "probe-ms", "%d with misses %d", s.ProbeMS, s.Misses)
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
		Memory: m, VMs: s.VMs, Misses: s.Misses, Period: time.Duration(s.ProbeMS) * time.Millisecond,
	}}
	go p.run()
	face := &leverplatform.Face{Memory: m, Token: s.Token}
	server := &http.Server{Addr: s.Listen, Handler: face.Handler(), ReadHeaderTimeout: time.Minute}
	return server.ListenAndServe()
}

// prober owns the goroutine that asks the VMs.
type prober struct{ leverplatform.Prober }

func (p *prober) run() { p.Run(context.Background()) }
