package leverdirectory_test

import (
	"testing"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverid"

	"github.com/matryer/is"
)

func upstreams() []leverdirectory.Upstream {
	return []leverdirectory.Upstream{
		{ID: "s-a", Service: "s", Domain: "a"}, {ID: "s-b", Service: "s", Domain: "b"},
		{ID: "t-a", Service: "t", Domain: "a"}, {ID: "t-b", Service: "t", Domain: "b", Draining: true},
	}
}

// TestEvacuated guards against upstreams of an evacuated failure domain that are used,
// whatever becomes known first, and against views that change under a request.
func TestEvacuated(t *testing.T) {
	orders := map[string]func(d *leverdirectory.Directory){
		"upstreams first":   func(d *leverdirectory.Directory) { d.SetUpstreams(upstreams()); d.SetEvacuated([]leverid.Domain{"a"}) },
		"evacuations first": func(d *leverdirectory.Directory) { d.SetEvacuated([]leverid.Domain{"a"}); d.SetUpstreams(upstreams()) },
	}
	for name, set := range orders {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var d leverdirectory.Directory
			set(&d)
			v := d.View()
			is.True(v.Evacuated("a") && !v.Evacuated("b"))
			is.Equal(len(v.Upstreams("s")), 1)
			is.Equal(v.Upstreams("s")[0].ID, leverid.UpstreamID("s-b"))
			is.True(v.Contains(leverdirectory.Key{ID: "s-a"})) // its connections stay
			is.True(!v.Withdrawn("s") && v.Withdrawn("t") && !v.Withdrawn("unknown"))
			added, lifted := d.SetEvacuated([]leverid.Domain{"b", "c"})
			is.Equal(added, []leverid.Domain{"b", "c"})
			is.Equal(lifted, []leverid.Domain{"a"})
			is.Equal(len(v.Upstreams("t")), 0) // the view from before
			is.Equal(d.View().Upstreams("s")[0].ID, leverid.UpstreamID("s-a"))
			is.True(!d.View().AnyWithdrawn())
			d.SetEvacuated(nil)
			is.Equal(len(d.View().Upstreams("s")), 2)
		})
	}
}

// TestAwaitEvacuations guards against requests that are routed before the evacuations
// were read, and against a view that stays unusable.
func TestAwaitEvacuations(t *testing.T) {
	is := is.New(t)
	var d leverdirectory.Directory
	d.AwaitEvacuations(true)
	d.SetUpstreams(upstreams())
	d.SetConfig(&leverdirectory.Config{Version: 1})
	is.True(!d.View().Usable())
	d.SetEvacuated(nil)
	is.True(d.View().Usable())
	is.True(!d.AwaitEvacuations(false))
	is.True(d.View().Usable())
}
