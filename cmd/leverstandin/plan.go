package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermodel"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leversettings"
	"arbutuslever.dev/lever/internal/leverstore"

	"github.com/juju/errors"
)

// planCommand writes the settings files of a trial on the loopback address.
type planCommand struct {
	Dir        string `long:"dir" required:"true" description:"directory to write to"`
	Deployment string `long:"deployment" default:"tw-north" choice:"tw-north" choice:"maroc-nord" description:"deployment to simulate"`
	Scale      int    `long:"scale" default:"2" description:"maximum number of services per app"`
	App        string `long:"app" description:"only the app with this name"`
	VMs        int    `long:"vms" default:"6" description:"number of entry VMs"`
	Port       int    `long:"port" default:"21000" description:"first port on the loopback address"`
	Seed       uint64 `long:"seed" default:"1" description:"seed of the upstreams' service times"`
}

const (
	loopback = "127.0.0.1"
	// Offsets from the first port of a plan, which is the platform's. Each VM
	// has two ports from firstVMPort on, each upstream has one from
	// firstUpstreamPort on.
	firstVMPort       = 1
	firstUpstreamPort = 200
	peerKey           = "peer-key-for-trials-only"
	operatorKey       = "operator-key-for-trials-only"
	firstVersion      = leverid.IndexVersion(1)
)

func (c *planCommand) address(offset int) string {
	return fmt.Sprintf("%s:%d", loopback, c.Port+offset)
}

// Execute writes the files and prints the ids of the upstreams, one per line.
func (c *planCommand) Execute([]string) error {
	d := levermodel.TwNorth()
	if c.Deployment == "maroc-nord" {
		d = levermodel.MarocNord()
	}
	d = d.Scaled(c.Scale)
	platform := platformSettings{Listen: c.address(0), ProbeMS: 250, Misses: 3, VMs: c.vms(d)}
	fleet := fleetSettings{Seed: c.Seed, RunLog: filepath.Join(c.Dir, "runs.jsonl")}
	fleet.Behaviour = levermodel.Behaviour{Sigma: 0.4, Oldest: firstVersion, Newest: firstVersion}
	for _, a := range d.Apps {
		if c.App != "" && a.Name != c.App {
			continue
		}
		for n := 1; n <= a.Services; n++ {
			if err := c.addService(d, a, n, &platform, &fleet); err != nil {
				return err
			}
		}
	}
	if err := c.writeFile("platform.json", platform); err != nil {
		return err
	}
	if err := c.writeFile("fleet.json", fleet); err != nil {
		return err
	}
	for _, u := range fleet.Upstreams {
		fmt.Println(u.ID)
	}
	return c.writeVMs(platform.VMs)
}

func (c *planCommand) vms(d levermodel.Deployment) []levermsg.VM {
	var vms []levermsg.VM
	for i := range c.VMs {
		vms = append(vms, levermsg.VM{
			ID: leverid.VMID(fmt.Sprintf("vm-%d", i+1)), Domain: d.Domains[i%len(d.Domains)],
			Caller: c.address(firstVMPort + 2*i), Peer: c.address(firstVMPort + 2*i + 1), State: levermsg.Live,
		})
	}
	return vms
}

func (c *planCommand) addService(d levermodel.Deployment, a levermodel.App, n int, p *platformSettings, f *fleetSettings) error {
	index := d.Index(a, n, firstVersion, func(id leverid.UpstreamID) string {
		listen := c.address(firstUpstreamPort + len(f.Upstreams))
		f.Upstreams = append(f.Upstreams, fleetUpstream{
			ID: id, Listen: listen, Slots: a.Slots, Backlog: a.Slots, Connections: a.Connections,
			ConnectCost: a.ConnectCost.Seconds() * 1000, MedianMS: a.Median.Seconds() * 1000,
			Shards: map[leverid.IndexVersion]int{firstVersion: a.ShardCount},
		})
		return listen
	})
	value, err := json.Marshal(index)
	if err != nil {
		return err
	}
	p.Objects = append(p.Objects, storeObject{Key: leverstore.IndexPrefix + leverid.ObjectKey(index.Service), Value: value})
	return nil
}

func (c *planCommand) writeVMs(vms []levermsg.VM) error {
	var seeds []leversettings.Seed
	for _, vm := range vms {
		seeds = append(seeds, leversettings.Seed{VM: vm.ID, Peer: vm.Peer})
	}
	for _, vm := range vms {
		s := leversettings.DefaultVM()
		s.VM, s.Domain, s.CallerListen, s.PeerListen = vm.ID, vm.Domain, vm.Caller, vm.Peer
		s.Platform = "http://" + c.address(0)
		s.PeerKeys, s.OperatorKeys, s.Seeds = []string{peerKey}, []string{operatorKey}, seeds
		if err := c.writeFile(string(vm.ID)+".json", s); err != nil {
			return err
		}
	}
	return nil
}

func (c *planCommand) writeFile(name string, v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	text := "// Written by leverstandin plan.\n" + string(b) + "\n"
	return errors.Annotate(os.WriteFile(filepath.Join(c.Dir, name), []byte(text), 0o644), "plan")
}
