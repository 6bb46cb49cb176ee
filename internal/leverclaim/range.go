// Package leverclaim prevents a request that is not repeatable from running
// twice. Before such a request is sent, its id is claimed in the platform's
// store by a conditional update. A claim is never transferred to another
// request.
package leverclaim

import (
	"encoding/json"
	"slices"
	"time"

	"arbutuslever.dev/lever/internal/leverid"

	"github.com/juju/errors"
)

// NumRanges is the number of stored objects that claims are partitioned into. It
// is part of the storage format.
const NumRanges = 64

// RangeID is the number of a range, from 0 to NumRanges-1.
type RangeID int

// RangeOf returns the range that an id belongs to.
func RangeOf(id ID) RangeID { return RangeID(id.High % NumRanges) }

// ID is the hash under which a request id is claimed.
type ID struct {
	High uint64 `json:"h" msgpack:"h"`
	Low  uint64 `json:"l" msgpack:"l"`
}

// IDOf returns the id under which a service's request is claimed.
func IDOf(s leverid.ServiceID, r leverid.RequestID) ID {
	return ID{
		High: leverid.Hash("high", string(s), string(r)),
		Low:  leverid.Hash("low", string(s), string(r)),
	}
}

// Nonce distinguishes claims of the same id. The entry VM generates a random
// one for each request that it receives.
type Nonce uint64

// Claim is one claimed id.
type Claim struct {
	ID    ID    `json:"i"`
	Nonce Nonce `json:"n"`
	// Expires is the time of expiry in seconds since the Unix epoch.
	Expires int64 `json:"e"`
}

// maxClaims keeps an object well below the platform's limit of a megabyte.
const maxClaims = 8000

// Range is the stored object with the claims of one range. The zero value is
// empty.
type Range struct {
	Claims []Claim `json:"claims"`
}

// ErrFull means that a range already contains the maximum number of claims.
const ErrFull = errors.ConstError("claim range is full")

// ErrTaken means that another request has claimed the id.
const ErrTaken = errors.ConstError("request id is already claimed")

// ParseRange decodes a stored object. Empty input is an empty range.
func ParseRange(b []byte) (*Range, error) {
	var r Range
	if len(b) == 0 {
		return &r, nil
	}
	if err := json.Unmarshal(b, &r); err != nil {
		return nil, errors.NewNotValid(err, "claim range")
	}
	return &r, nil
}

// Encode returns the value to store.
func (r *Range) Encode() ([]byte, error) { return json.Marshal(r) }

// Expire deletes the claims that have expired.
func (r *Range) Expire(now time.Time) {
	r.Claims = slices.DeleteFunc(r.Claims, func(c Claim) bool { return c.Expires <= now.Unix() })
}

// Add adds a claim. It returns [ErrTaken] if the id is claimed under another
// nonce and [ErrFull] if the range is full. Adding a claim again has no
// effect.
func (r *Range) Add(c Claim) error {
	for _, old := range r.Claims {
		if old.ID != c.ID {
			continue
		}
		if old.Nonce == c.Nonce {
			return nil
		}
		return ErrTaken
	}
	if len(r.Claims) >= maxClaims {
		return ErrFull
	}
	r.Claims = append(r.Claims, c)
	return nil
}

// Remove deletes the claim of id under nonce n, but not one of the same id
// under another nonce.
func (r *Range) Remove(id ID, n Nonce) {
	r.Claims = slices.DeleteFunc(r.Claims, func(c Claim) bool { return c.ID == id && c.Nonce == n })
}

// Contains reports whether the range contains the claim of id under nonce n.
func (r *Range) Contains(id ID, n Nonce) bool {
	return slices.ContainsFunc(r.Claims, func(c Claim) bool { return c.ID == id && c.Nonce == n })
}
