package leverstore

import (
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
)

// WireObject is the JSON form of an Object. Value is encoded as base64.
type WireObject struct {
	Key      leverid.ObjectKey `json:"key"`
	Revision Revision          `json:"revision"`
	Value    []byte            `json:"value,omitempty"`
	Deleted  bool              `json:"deleted,omitempty"`
}

// WireChanges is the response body of a list and of a watch.
type WireChanges struct {
	Revision Revision     `json:"revision"`
	Objects  []WireObject `json:"objects"`
}

// WireVMs is the response body of a request for the list of VMs.
type WireVMs struct {
	Revision Revision      `json:"revision"`
	VMs      []levermsg.VM `json:"vms"`
}

func (w WireChanges) changes() Changes {
	c := Changes{Revision: w.Revision, Objects: make([]Object, len(w.Objects))}
	for i, o := range w.Objects {
		c.Objects[i] = Object(o)
	}
	return c
}
