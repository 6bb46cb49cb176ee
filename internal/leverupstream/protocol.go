// Package leverupstream implements the native upstream protocol, which
// docs/UPSTREAM.md specifies.
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

// Path is the URL path at which an upstream accepts queries.
const Path = "/v1/query"

// Headers of the protocol.
const (
	HeaderRequest  = "Lever-Request"
	HeaderRank     = "Lever-Rank"
	HeaderShard    = "Lever-Shard"
	HeaderLeft     = "Lever-Left-Ms"
	HeaderUpstream = "Lever-Upstream"
	HeaderRunState = "Lever-Run-State"
	HeaderVersions = "Lever-Versions"
)

// Shard identifies one shard of one version of a service's index.
type Shard struct {
	Service leverid.ServiceID
	Version leverid.IndexVersion
	ID      leverid.ShardID
}

// Name returns the shard as "service/version/shard", the service name that the
// engine uses for it.
func (s Shard) Name() leverid.ServiceID {
	return leverid.ServiceID(fmt.Sprintf("%s/%d/%d", s.Service, s.Version, s.ID))
}

// ParseShard parses the result of Shard.Name.
func ParseShard(name string) (Shard, error) {
	rest, id, hasID := cutLast(name)
	service, version, hasVersion := cutLast(rest)
	if !hasID || !hasVersion || service == "" {
		return Shard{}, errors.BadRequestf("invalid shard name %q", name)
	}
	v, err := strconv.ParseUint(version, 10, 64)
	if err != nil {
		return Shard{}, errors.BadRequestf("shard name %q: invalid index version", name)
	}
	shard, err := strconv.ParseUint(id, 10, 31)
	if err != nil {
		return Shard{}, errors.BadRequestf("shard name %q: invalid shard number", name)
	}
	return Shard{Service: leverid.ServiceID(service), Version: leverid.IndexVersion(v), ID: leverid.ShardID(shard)}, nil
}

func cutLast(s string) (before, after string, ok bool) {
	i := strings.LastIndexByte(s, '/')
	if i < 0 {
		return "", "", false
	}
	return s[:i], s[i+1:], true
}

// Protocol implements leverengine.Protocol.
type Protocol struct{}

// StripHeaders removes the headers that AttemptHeaders sets.
func (Protocol) StripHeaders(h http.Header) {
	for _, name := range []string{HeaderShard, HeaderLeft, HeaderUpstream} {
		h.Del(name)
	}
}

// AttemptHeaders returns the headers of one attempt at the upstream u. left is
// the time until the deadline, which is sent as at least 1 ms.
func (Protocol) AttemptHeaders(left time.Duration, u *leverdirectory.Upstream) http.Header {
	return http.Header{
		HeaderShard:    {string(u.Service)},
		HeaderLeft:     {strconv.FormatInt(max(left.Milliseconds(), 1), 10)},
		HeaderUpstream: {string(u.ID)},
	}
}

// ParseHead extracts the protocol's fields from the status and headers of a
// reply.
func (Protocol) ParseHead(status int, h http.Header) leverengine.ResponseMeta {
	m := leverengine.ResponseMeta{
		Request:       leverid.RequestID(h.Get(HeaderRequest)),
		Service:       leverid.ServiceID(h.Get(HeaderShard)),
		Signature:     h.Get(HeaderUpstream),
		NotRun:        h.Get(HeaderRunState) == leverid.NotRun.String(),
		WrongUpstream: status == http.StatusMisdirectedRequest,
	}
	switch status {
	case http.StatusGone, http.StatusTooEarly:
		m.Absent = h.Get(HeaderVersions)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		m.StatusImpliesNotRun = true
	}
	return m
}

// Versions is the range of index versions that an upstream serves.
type Versions struct{ Oldest, Newest leverid.IndexVersion }

// String formats the range as in HeaderVersions.
func (v Versions) String() string { return fmt.Sprintf("%d-%d", v.Oldest, v.Newest) }

// ParseVersions parses the value of HeaderVersions.
func ParseVersions(s string) (Versions, error) {
	var v Versions
	if _, err := fmt.Sscanf(s, "%d-%d", &v.Oldest, &v.Newest); err != nil {
		return Versions{}, errors.BadRequestf("invalid index versions %q", s)
	}
	return v, nil
}
