package leverdirectory

import (
	"crypto/sha256"

	"arbutuslever.dev/lever/internal/leverid"
)

// KeyDigest stands for the key of a caller. Configurations hold digests only, so that
// no copy of them that is sent to other VMs holds a key. The zero value stands for no
// key.
type KeyDigest [16]byte

// DigestKey returns the digest of a key, or the zero value for an empty one.
func DigestKey(key string) KeyDigest {
	var d KeyDigest
	if key != "" {
		sum := sha256.Sum256([]byte(key))
		copy(d[:], sum[:])
	}
	return d
}

// Organisation is a customer whose callers share an allowance.
type Organisation struct {
	Name leverid.OrganisationID
	// Keys are the digests of the keys that its callers may use.
	Keys []KeyDigest
	// Rank, if Ranked is set, replaces the rank of the routes.
	Rank   leverid.Rank
	Ranked bool
	// Rate is the number of requests per second, and Burst the number in addition to
	// that, that all VMs together admit. There is no limit if Rate is 0.
	Rate, Burst float64
	// Homes are the regions in which its requests may be processed.
	Homes Homes
}

// Organisation returns the organisation that holds a key, or nil.
func (c *Config) Organisation(key KeyDigest) *Organisation { return c.byKey[key] }

// OrganisationNamed returns the organisation with a name, or nil.
func (c *Config) OrganisationNamed(name leverid.OrganisationID) *Organisation { return c.byName[name] }

// KeyCount returns the number of keys.
func (c *Config) KeyCount() int { return len(c.byKey) }

// indexOrganisations groups the organisations by key and by name. If two hold the same
// key, it is the first one's.
func (c *Config) indexOrganisations() {
	c.byKey = make(map[KeyDigest]*Organisation)
	c.byName = make(map[leverid.OrganisationID]*Organisation, len(c.Organisations))
	for i := range c.Organisations {
		o := &c.Organisations[i]
		if c.byName[o.Name] == nil {
			c.byName[o.Name] = o
		}
		for _, k := range o.Keys {
			if c.byKey[k] == nil && k != (KeyDigest{}) {
				c.byKey[k] = o
			}
		}
	}
}
