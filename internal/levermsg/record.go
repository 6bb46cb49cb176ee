// Package levermsg defines message types that VMs exchange. They are encoded
// with msgpack. A field's msgpack name is part of the protocol and must not be
// reused for another field.
package levermsg

// Record is one entry of an answer. Of two records with the same key, the one
// with the higher revision replaces the other.
type Record struct {
	Key      string `json:"key" msgpack:"k"`
	Revision uint64 `json:"revision" msgpack:"r"`
	// Value is not interpreted by the query tier.
	Value RawJSON `json:"value,omitempty" msgpack:"v"`
}

// RawJSON is encoded JSON that is forwarded without being parsed.
type RawJSON []byte

// MarshalJSON returns r unchanged, or null if r is empty.
func (r RawJSON) MarshalJSON() ([]byte, error) {
	if len(r) == 0 {
		return []byte("null"), nil
	}
	return r, nil
}

// UnmarshalJSON stores a copy of b.
func (r *RawJSON) UnmarshalJSON(b []byte) error {
	*r = append((*r)[:0], b...)
	return nil
}
