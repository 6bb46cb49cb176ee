package levercheck

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// node is a value of a JSON text with the line that it begins on.
type node struct {
	line int
	// value is nil, a bool, a string, a json.Number, a []*node or a []member.
	value any
}

type member struct {
	name  string
	line  int
	value *node
}

// parse reads a JSON text. It returns a finding if the text can't be read.
func parse(raw []byte) (*node, *Finding) {
	var whole json.RawMessage
	if err := json.Unmarshal(raw, &whole); err != nil {
		at := len(raw)
		if e, ok := err.(*json.SyntaxError); ok {
			// The offset is that of the first byte after the wrong one.
			at = min(max(int(e.Offset)-1, 0), len(raw))
		}
		return nil, &Finding{Severity: Error, Line: 1 + bytes.Count(raw[:at], []byte("\n")), Message: "the text can't be read: " + err.Error()}
	}
	p := &parser{raw: raw, line: 1, tokens: json.NewDecoder(bytes.NewReader(raw))}
	p.tokens.UseNumber()
	n, err := p.node()
	if err != nil {
		return nil, &Finding{Severity: Error, Line: p.line, Message: "the text can't be read: " + err.Error()}
	}
	return n, nil
}

// parser builds nodes of a text that encoding/json has found valid, which bounds its
// depth.
type parser struct {
	raw      []byte
	at, line int
	tokens   *json.Decoder
}

// next returns the next token and keeps track of its line.
func (p *parser) next() (json.Token, error) {
	t, err := p.tokens.Token()
	end := int(p.tokens.InputOffset())
	p.line += bytes.Count(p.raw[p.at:end], []byte("\n"))
	p.at = end
	return t, err
}

func (p *parser) node() (*node, error) {
	t, err := p.next()
	if err != nil {
		return nil, err
	}
	n := &node{line: p.line, value: t}
	switch t {
	case json.Delim('['):
		n.value, err = p.elements()
	case json.Delim('{'):
		n.value, err = p.members()
	}
	return n, err
}

func (p *parser) elements() ([]*node, error) {
	list := []*node{}
	for p.tokens.More() {
		n, err := p.node()
		if err != nil {
			return nil, err
		}
		list = append(list, n)
	}
	_, err := p.next()
	return list, err
}

func (p *parser) members() ([]member, error) {
	list := []member{}
	for p.tokens.More() {
		t, err := p.next()
		if err != nil {
			return nil, err
		}
		name, _ := t.(string)
		m := member{name: name, line: p.line}
		if m.value, err = p.node(); err != nil {
			return nil, err
		}
		list = append(list, m)
	}
	_, err := p.next()
	return list, err
}

// kindName names the kind of a value. It never contains the value.
func (n *node) kindName() string {
	switch n.value.(type) {
	case bool:
		return "true or false"
	case string:
		return "a string"
	case json.Number:
		return "a number"
	case []*node:
		return "a list"
	case []member:
		return "an object"
	}
	return "null"
}

// same reports whether two values are equal but for the order of members. Missing
// values equal null.
func same(a, b *node) bool { return canonical(a) == canonical(b) }

func canonical(n *node) string {
	b, err := json.Marshal(plain(n))
	if err != nil {
		return fmt.Sprint(err)
	}
	return string(b)
}

// plain returns the value as encoding/json decodes it.
func plain(n *node) any {
	if n == nil {
		return nil
	}
	switch v := n.value.(type) {
	case []*node:
		list := make([]any, len(v))
		for i, e := range v {
			list[i] = plain(e)
		}
		return list
	case []member:
		m := make(map[string]any, len(v))
		for _, e := range v {
			m[e.name] = plain(e.value)
		}
		return m
	}
	return n.value
}
