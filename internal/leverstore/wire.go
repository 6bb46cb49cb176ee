package leverstore

import (
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
)

// WireObject is an object as the API writes it. Value is base64 in JSON.
type WireObject struct {
	Key      leverid.ObjectKey `json:"key"`
	Revision Revision          `json:"revision"`
	Value    []byte            `json:"value,omitempty"`
	Deleted  bool              `json:"deleted,omitempty"`
}

// WireChanges is the body of a list's and a watch's answer.
type WireChanges struct {
	Revision Revision     `json:"revision"`
	Objects  []WireObject `json:"objects"`
}

// WireVMs is the body of the answer to a request for the VMs.
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
