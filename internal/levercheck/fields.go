package levercheck

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// fieldType is the type that the VMs expect of a field.
type fieldType string

const (
	text    fieldType = "a string"
	flag    fieldType = "true or false"
	whole   fieldType = "a whole number"
	natural fieldType = "a whole number that is not negative"
	number  fieldType = "a number"
	millis  fieldType = "a number of milliseconds"
	texts   fieldType = "a list of strings"
	list    fieldType = "a list"
	object  fieldType = "an object"
)

// field is a field of the platform's wire format.
type field struct {
	name string
	kind fieldType
}

var (
	configFields = []field{{"version", natural}, {"routes", list}, {"services", list}, {"limits", object}, {"tenants", list}}
	routeFields  = []field{
		{"name", text}, {"host", text}, {"pathPrefix", text}, {"kind", text}, {"timeoutMs", millis}, {"objectiveMs", millis},
		{"priority", whole}, {"maxAttempts", whole}, {"service", text}, {"trafficSplit", list}, {"gather", texts},
		{"topK", whole}, {"minShare", number}, {"public", flag}, {"allowedRegions", texts},
	}
	targetFields  = []field{{"service", text}, {"weight", number}}
	serviceFields = []field{{"name", text}, {"maxConnections", whole}, {"coldStartS", number}, {"coldPerS", number}}
	limitFields   = []field{{"maxHeaderBytes", whole}, {"maxBodyBytes", whole}, {"headerTimeoutMs", millis}, {"idleTimeoutMs", millis}}
	tenantFields  = []field{
		{"name", text}, {"apiKeys", texts}, {"priority", whole}, {"allowedRegions", texts}, {"ratePerS", number}, {"burst", number},
	}
)

// fits reports whether the VMs can decode a value as the type. They decode null as a
// missing value.
func (k fieldType) fits(n *node) bool {
	if n.value == nil {
		return true
	}
	var ok bool
	switch v := n.value.(type) {
	case string:
		return k == text
	case bool:
		return k == flag
	case []member:
		return k == object
	case []*node:
		ok = k == list || k == texts
		for _, e := range v {
			ok = ok && (k == list || text.fits(e))
		}
	case json.Number:
		var err error
		switch k {
		case whole:
			if _, err = strconv.ParseInt(v.String(), 10, 64); err != nil {
				return isWhole(v)
			}
		case natural:
			_, err = strconv.ParseUint(v.String(), 10, 64)
		case millis:
			ms, err := v.Float64()
			return err == nil && math.Abs(ms) <= math.MaxInt64
		case number:
			_, err = strconv.ParseFloat(v.String(), 64)
		default:
			return false
		}
		ok = err == nil
	}
	return ok
}

// isWhole reports whether a number with a fraction or an exponent is whole in value, as
// 20.0 is.
func isWhole(n json.Number) bool {
	const maxExactFloat = 1 << 53
	v, err := n.Float64()
	return err == nil && v == math.Trunc(v) && math.Abs(v) <= maxExactFloat
}

// entry is an object of the configuration. It holds the fields that can be decoded.
type entry struct {
	path   string
	line   int
	fields map[string]*node
	// wrong are the fields that the VMs can't decode.
	wrong map[string]bool
	// others are the members that the VMs ignore.
	others []member
}

// read reads an object, and reports the members that the VMs can't decode or ignore.
func (c *checker) read(n *node, path string, known []field) *entry {
	e := &entry{path: path, line: n.line, fields: make(map[string]*node), wrong: make(map[string]bool)}
	members, _ := n.value.([]member)
	for _, m := range members {
		f := find(known, m.name)
		if f == nil {
			e.others = append(e.others, m)
			c.add(Warning, path, m.line, "%s is ignored: no field has this name", c.memberName(path, m.name))
			continue
		}
		at := join(path, f.name)
		if _, ok := e.fields[f.name]; ok {
			c.add(Warning, at, m.line, "occurs more than once; the last one applies")
		}
		if f.kind.fits(m.value) {
			e.fields[f.name] = m.value
			continue
		}
		e.wrong[f.name] = true
		switch _, isList := m.value.value.([]*node); {
		case isList && f.kind == texts:
			c.add(Error, at, m.value.line, "holds an element that is not a string")
		case m.value.kindName() == "a number" && f.kind != text:
			c.add(Error, at, m.value.line, "is not %s, or out of range", f.kind)
		default:
			c.add(Error, at, m.value.line, "is %s instead of %s", m.value.kindName(), f.kind)
		}
	}
	return e
}

// memberName returns the name of a member that the VMs ignore. In an organisation it may
// be a key in the wrong place.
func (c *checker) memberName(path, name string) string {
	if strings.HasPrefix(path, "tenants[") {
		return "a member"
	}
	return c.quote(name)
}

// find returns the field with a name, in which the VMs ignore case, or nil.
func find(known []field, name string) *field {
	for i := range known {
		if strings.EqualFold(known[i].name, name) {
			return &known[i]
		}
	}
	return nil
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// lineOf returns the line of a field, or that of the entry if it is missing.
func (e *entry) lineOf(name string) int {
	if n := e.fields[name]; n != nil {
		return n.line
	}
	return e.line
}

// has reports whether a field is there and not null.
func (e *entry) has(name string) bool { return e.fields[name] != nil && e.fields[name].value != nil }

func (e *entry) text(name string) string {
	if e.has(name) {
		return e.fields[name].value.(string)
	}
	return ""
}

// figure returns a number as text.
func figure(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

// number returns the value of a number, or 0.
func (e *entry) number(name string) float64 {
	if !e.has(name) {
		return 0
	}
	v, _ := e.fields[name].value.(json.Number).Float64()
	return v
}

func (e *entry) elements(name string) []*node {
	if e.has(name) {
		return e.fields[name].value.([]*node)
	}
	return nil
}

// texts returns the strings of a list that are not empty, with their places in it.
func (e *entry) texts(name string) (values []string, places []*node) {
	for _, n := range e.elements(name) {
		if s, ok := n.value.(string); ok && s != "" {
			values, places = append(values, s), append(places, n)
		}
	}
	return values, places
}

// entries reads the objects of a list, and reports what else it holds.
func (c *checker) entries(e *entry, name string, known []field) []*entry {
	var out []*entry
	for i, n := range e.elements(name) {
		path := fmt.Sprintf("%s[%d]", join(e.path, name), i)
		if !object.fits(n) {
			c.add(Error, path, n.line, "is %s instead of an object", n.kindName())
			continue
		}
		out = append(out, c.read(n, path, known))
	}
	return out
}
