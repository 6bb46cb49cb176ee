// Package leverupstream speaks the product's own protocol of upstreams.
// docs/UPSTREAM.md states it.
package leverupstream

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverengine"
	"arbutuslever.dev/lever/internal/leverid"

	"github.com/juju/errors"
)

// Path is where an upstream takes queries.
const Path = "/v1/query"

// The headers of the protocol.
const (
	HeaderRequest  = "Lever-Request"
	HeaderRank     = "Lever-Rank"
	HeaderShard    = "Lever-Shard"
	HeaderLeft     = "Lever-Left-Ms"
	HeaderUpstream = "Lever-Upstream"
	HeaderRunState = "Lever-Run-State"
	HeaderVersions = "Lever-Versions"
)

// Shard names one shard of one version of a service's index.
type Shard struct {
	Service leverid.ServiceID
	Version leverid.IndexVersion
	ID      leverid.ShardID
}

// Name returns the name under which the engine knows the shard.
func (s Shard) Name() leverid.ServiceID {
	return leverid.ServiceID(fmt.Sprintf("%s/%d/%d", s.Service, s.Version, s.ID))
}

// ParseShard reads a shard's name.
func ParseShard(name string) (Shard, error) {
	rest, id, ok := cutLast(name)
	service, version, also := cutLast(rest)
	if !ok || !also || service == "" {
		return Shard{}, errors.BadRequestf("shard %q", name)
	}
	v, err := strconv.ParseUint(version, 10, 64)
	if err != nil {
		return Shard{}, errors.BadRequestf("shard %q: version", name)
	}
	n, err := strconv.ParseUint(id, 10, 31)
	if err != nil {
		return Shard{}, errors.BadRequestf("shard %q: number", name)
	}
	return Shard{Service: leverid.ServiceID(service), Version: leverid.IndexVersion(v), ID: leverid.ShardID(n)}, nil
}

func cutLast(s string) (before, after string, ok bool) {
	i := strings.LastIndexByte(s, '/')
	if i < 0 {
		return "", "", false
	}
	return s[:i], s[i+1:], true
}

// Protocol reads and writes the headers for the engine.
type Protocol struct{}

// Strip removes what Stamp adds.
func (Protocol) Strip(h http.Header) {
	for _, name := range []string{HeaderShard, HeaderLeft, HeaderUpstream} {
		h.Del(name)
	}
}

// Stamp returns the headers of one attempt.
func (Protocol) Stamp(left time.Duration, u *leverdirectory.Upstream) http.Header {
	return http.Header{
		HeaderShard:    {string(u.Service)},
		HeaderLeft:     {strconv.FormatInt(max(left.Milliseconds(), 1), 10)},
		HeaderUpstream: {string(u.ID)},
	}
}

// Read returns what a reply's head says.
func (Protocol) Read(status int, h http.Header) leverengine.Mark {
	m := leverengine.Mark{
		Request:   leverid.RequestID(h.Get(HeaderRequest)),
		Service:   leverid.ServiceID(h.Get(HeaderShard)),
		Signature: h.Get(HeaderUpstream),
		NotRun:    h.Get(HeaderRunState) == leverid.NotRun.String(),
		Elsewhere: status == http.StatusMisdirectedRequest,
	}
	switch status {
	case http.StatusGone, http.StatusTooEarly:
		m.Absent = h.Get(HeaderVersions)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		m.Promise = true
	}
	return m
}

// Versions are the index versions that an upstream has.
type Versions struct{ Oldest, Newest leverid.IndexVersion }

// String returns both, as in HeaderVersions.
func (v Versions) String() string { return fmt.Sprintf("%d-%d", v.Oldest, v.Newest) }

// ParseVersions reads the value of HeaderVersions.
func ParseVersions(s string) (Versions, error) {
	var v Versions
	if _, err := fmt.Sscanf(s, "%d-%d", &v.Oldest, &v.Newest); err != nil {
		return Versions{}, errors.BadRequestf("versions %q", s)
	}
	return v, nil
}
