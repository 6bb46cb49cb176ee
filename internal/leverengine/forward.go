package leverengine

import (
	"net/http"
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverid"
)

// Forwarded is a request as one VM sends it to another. It holds durations instead
// of points in time because the VMs' clocks differ.
type Forwarded struct {
	ID     leverid.RequestID `msgpack:"i"`
	Method string            `msgpack:"m"`
	Host   string            `msgpack:"h"`
	URI    string            `msgpack:"u"`
	Path   string            `msgpack:"p"`
	Header http.Header       `msgpack:"e"`
	Body   []byte            `msgpack:"b"`
	// CallerTimeout is the caller's total timeout, Age the part of it that has
	// passed.
	CallerTimeout time.Duration `msgpack:"w"`
	Age           time.Duration `msgpack:"a"`
	PriorAttempts int           `msgpack:"n"`
	Overrides     *Overrides    `msgpack:"x,omitempty"`
	// Organisation is the one that the first VM has found for the caller's key.
	Organisation leverid.OrganisationID `msgpack:"o,omitempty"`
	// Homes are the regions in which the request may be processed. It is never empty
	// without being nil, as no VM receives such a request.
	Homes leverdirectory.Homes `msgpack:"g,omitempty"`
}

// Forward returns the message for a request that is sent at the given time.
func Forward(r *Request, now time.Time) Forwarded {
	return Forwarded{
		ID: r.ID, Method: r.Method, Host: r.Host, URI: r.URI, Path: r.Path, Header: r.Header, Body: r.Body,
		CallerTimeout: r.CallerTimeout, Age: now.Sub(r.Received), PriorAttempts: r.PriorAttempts, Overrides: r.Overrides,
		Organisation: r.Organisation, Homes: r.Homes,
	}
}

// Request returns the request of a message that was received at the given time.
func (f *Forwarded) Request(now time.Time) *Request {
	return &Request{
		ID: f.ID, Method: f.Method, Host: f.Host, URI: f.URI, Path: f.Path, Header: f.Header, Body: f.Body,
		CallerTimeout: f.CallerTimeout, Received: now.Add(-f.Age), PriorAttempts: f.PriorAttempts, Overrides: f.Overrides,
		Organisation: f.Organisation, Homes: f.Homes,
	}
}
