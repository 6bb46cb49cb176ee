package leverpeer

import (
	"crypto/subtle"
	"sync"

	"arbutuslever.dev/lever/internal/levermsg"
)

// protocol is the version of the peer protocol.
const protocol = 1

type hello struct {
	Protocol int         `msgpack:"p"`
	VM       levermsg.VM `msgpack:"v"`
	Key      string      `msgpack:"k"`
}

type welcome struct {
	VM levermsg.VM `msgpack:"v"`
}

// Keys are the shared secrets that a face accepts. The first is the one to
// show. Two are set while a key is rotated. The zero value accepts nothing.
// Keys is safe for concurrent use.
type Keys struct {
	mu   sync.RWMutex
	keys []string
}

// NewKeys returns a set of keys.
func NewKeys(keys ...string) *Keys {
	k := &Keys{}
	k.Set(keys...)
	return k
}

// Set replaces the keys.
func (k *Keys) Set(keys ...string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.keys = append([]string(nil), keys...)
}

// Show returns the key to present, or "" if there is none.
func (k *Keys) Show() string {
	k.mu.RLock()
	defer k.mu.RUnlock()
	if len(k.keys) == 0 {
		return ""
	}
	return k.keys[0]
}

// Accept reports whether key is one of the keys. Its time does not depend on
// where the keys differ.
func (k *Keys) Accept(key string) bool {
	k.mu.RLock()
	defer k.mu.RUnlock()
	ok := 0
	for _, have := range k.keys {
		if have == "" {
			continue
		}
		ok |= subtle.ConstantTimeCompare([]byte(have), []byte(key))
	}
	return ok == 1
}
