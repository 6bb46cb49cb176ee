package leverrelay_test

import (
	"fmt"
	"testing"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverrelay"
)

// largeConfig returns a configuration with the given numbers of routes and keys.
func largeConfig(version, routes, keys int) *leverdirectory.Config {
	c := &leverdirectory.Config{Version: leverid.ConfigVersion(version), KeysRequired: true, Organisations: make([]leverdirectory.Organisation, 79)}
	for i := range routes {
		c.Routes = append(c.Routes, leverdirectory.Route{Name: fmt.Sprint("route-", i), Host: "h", Prefix: fmt.Sprintf("/r%04d/", i), Targets: []leverdirectory.Target{{Service: "s", Weight: 1}}})
	}
	for i := range keys {
		o := &c.Organisations[i%len(c.Organisations)]
		o.Name = leverid.OrganisationID(fmt.Sprint("organisation-", i%len(c.Organisations)))
		o.Keys = append(o.Keys, leverdirectory.DigestKey(fmt.Sprintf("key-%020d", i)))
	}
	return c
}

// BenchmarkNewVersion measures what a new version costs the VM that sends it to its
// children, once for all of them, and each child.
func BenchmarkNewVersion(b *testing.B) {
	for _, n := range [][2]int{{60, 100}, {1460, 10000}} {
		m := leverrelay.NewMirror()
		m.OnConfigs, m.OnUpstreams, m.OnVMs = func([]*leverdirectory.Config) {}, func([]leverdirectory.Upstream) {}, func([]levermsg.VM) {}
		config := largeConfig(1, n[0], n[1])
		m.SetConfigs(map[string]*leverdirectory.Config{"main": config}, 1)
		body, _, _, err := m.Encoded(leverrelay.FollowRequest{Packed: true})
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("send %d routes, %d keys", n[0], n[1]), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				// Another position each time, as the last encoded updates are kept.
				if _, _, _, err := m.Encoded(leverrelay.FollowRequest{Epoch: uint64(i) + 2, Packed: true}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(body)), "bytes")
		})
		b.Run(fmt.Sprintf("receive %d routes, %d keys", n[0], n[1]), func(b *testing.B) {
			for b.Loop() {
				u, err := leverrelay.DecodeUpdate(body)
				if err != nil {
					b.Fatal(err)
				}
				(&leverdirectory.Directory{}).SetConfig(u.Configs.Items[0].Value)
			}
		})
	}
}
