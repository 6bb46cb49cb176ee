package leverpeer

import (
	"crypto/subtle"
	"sync"

	"arbutuslever.dev/lever/internal/levermsg"
)

// protocolVersion is the version of the peer protocol.
const protocolVersion = 1

// hello is the first frame of a connection, sent by the client.
type hello struct {
	Protocol int         `msgpack:"p"`
	VM       levermsg.VM `msgpack:"v"`
	Key      string      `msgpack:"k"`
}

// welcome is the server's reply to hello.
type welcome struct {
	VM levermsg.VM `msgpack:"v"`
}

// Keys is a set of shared secrets that a server accepts. The first is the one
// that clients present. There are two keys during a key rotation. The zero
// value accepts no key. Keys is safe for concurrent use.
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

// Current returns the key that clients present, or "" if there is none.
func (k *Keys) Current() string {
	k.mu.RLock()
	defer k.mu.RUnlock()
	if len(k.keys) == 0 {
		return ""
	}
	return k.keys[0]
}

// Matches reports whether key is one of the keys. The comparison takes constant
// time for keys of equal length.
func (k *Keys) Matches(key string) bool {
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
