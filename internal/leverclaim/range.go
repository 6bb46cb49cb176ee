// Package leverclaim keeps a request that is not repeatable from running
// twice. Before such a request is sent, its id is claimed in the platform's
// store by a conditional update; a claim is never handed over.
package leverclaim

import (
	"encoding/json"
	"slices"
	"time"

	"arbutuslever.dev/lever/internal/leverid"

	"github.com/juju/errors"
)

// Ranges is the number of objects over which claims are spread. It is part of
// the stored format.
const Ranges = 64

// RangeID is the number of one range of request ids.
type RangeID int

// RangeOf returns the range of an id.
func RangeOf(id ID) RangeID { return RangeID(id.High % Ranges) }

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

// Nonce tells two claims of one id apart. It is drawn by the entry VM for each
// request that it takes in.
type Nonce uint64

// Claim is one claimed id.
type Claim struct {
	ID    ID    `json:"i"`
	Nonce Nonce `json:"n"`
	// Expires is in seconds since the Unix epoch.
	Expires int64 `json:"e"`
}

// maxClaims bounds an object well below the platform's limit of a megabyte.
const maxClaims = 8000

// Range is the stored object of one range. The zero value is empty.
type Range struct {
	Claims []Claim `json:"claims"`
}

// ErrFull means that a range holds as many claims as an object can.
const ErrFull = errors.ConstError("claim range is full")

// ErrTaken means that the id was claimed by another request.
const ErrTaken = errors.ConstError("request id was claimed before")

// ParseRange reads a stored object; no bytes are an empty range.
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

// Encode returns the object's value.
func (r *Range) Encode() ([]byte, error) { return json.Marshal(r) }

// Expire drops the claims whose time is over.
func (r *Range) Expire(now time.Time) {
	r.Claims = slices.DeleteFunc(r.Claims, func(c Claim) bool { return c.Expires <= now.Unix() })
}

// Add claims an id. It returns ErrTaken if another nonce holds it and ErrFull
// if there is no room. Adding the same claim twice is no error.
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

// Remove gives up a claim. Another nonce's claim of the same id stays.
func (r *Range) Remove(id ID, n Nonce) {
	r.Claims = slices.DeleteFunc(r.Claims, func(c Claim) bool { return c.ID == id && c.Nonce == n })
}

// Holds reports whether the claim of id by n stands.
func (r *Range) Holds(id ID, n Nonce) bool {
	return slices.ContainsFunc(r.Claims, func(c Claim) bool { return c.ID == id && c.Nonce == n })
}
