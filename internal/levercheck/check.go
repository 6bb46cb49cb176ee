// Package levercheck checks a configuration of the users' platform before it is sent:
// what the VMs can't decode, what has no effect, limits that contradict each other, and
// what differs from the version in force. It has no input or output. The load behind it
// is bursts of hand-written versions, of which one in error is in force on all VMs
// within seconds.
package levercheck

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// Severity says what a finding means for whoever sends the configuration.
type Severity string

// Severities of findings.
const (
	// Error findings are wrong in any deployment.
	Error Severity = "error"
	// Warning findings have no effect, or another one than their text suggests.
	Warning Severity = "warning"
	// Change findings differ from the version in force.
	Change Severity = "change"
)

// Finding is one result of a check. It contains no key.
type Finding struct {
	Severity Severity `json:"severity"`
	// Path is that of the entry or the field; it is empty for the whole text.
	Path string `json:"path"`
	// Line counts from 1. It is 0 for what is only in the version in force.
	Line    int    `json:"line"`
	Message string `json:"message"`
}

// String returns the finding as a line of text.
func (f Finding) String() string {
	text := string(f.Severity) + ": "
	if f.Line > 0 {
		text = "line " + strconv.Itoa(f.Line) + ": " + text
	}
	if f.Path != "" {
		text += f.Path + ": "
	}
	return text + f.Message
}

// Check checks a configuration, and compares it to the one in force unless that is nil.
// Findings are ordered by line, with the changes last. It returns an error if the one in
// force can't be read.
func Check(raw, inForce []byte) ([]Finding, error) {
	c := &checker{keys: make(map[string]bool)}
	var old *document
	if inForce != nil {
		n, problem := parse(inForce)
		if problem != nil {
			return nil, errors.NotValidf("configuration in force, of %d bytes, line %d: %s:", len(inForce), problem.Line, problem.Message)
		}
		// Its own findings are not of interest.
		if old = (&checker{}).document(n); !old.has("version") {
			return nil, errors.NotValidf("configuration in force, of %d bytes, without a version", len(inForce))
		}
		c.addKeys(n, false)
	}
	n, problem := parse(raw)
	if problem != nil {
		return []Finding{*problem}, nil
	}
	if !object.fits(n) {
		return []Finding{{Severity: Error, Line: n.line, Message: "the configuration is " + n.kindName() + " instead of an object"}}, nil
	}
	c.addKeys(n, false)
	d := c.document(n)
	c.checkDocument(d)
	if old != nil {
		c.compare(d, old)
	}
	slices.SortStableFunc(c.findings, func(a, b Finding) int {
		if x, y := a.Severity == Change, b.Severity == Change; x != y {
			if x {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.Line, b.Line)
	})
	return c.findings, nil
}

// checker collects findings.
type checker struct {
	findings []Finding
	// keys are those of both configurations; no finding may contain one.
	keys map[string]bool
}

// document is a configuration with the lines of its entries.
type document struct {
	*entry
	routes, services, tenants []*entry
	// targets are the entries of the routes' trafficSplit.
	targets map[*entry][]*entry
	limits  *entry
}

func (c *checker) document(n *node) *document {
	d := &document{entry: c.read(n, "", configFields), targets: make(map[*entry][]*entry), limits: &entry{path: "limits"}}
	d.routes = c.entries(d.entry, "routes", routeFields)
	for _, r := range d.routes {
		d.targets[r] = c.entries(r, "trafficSplit", targetFields)
	}
	d.services = c.entries(d.entry, "services", serviceFields)
	if d.has("limits") {
		d.limits = c.read(d.fields["limits"], "limits", limitFields)
	}
	d.tenants = c.entries(d.entry, "tenants", tenantFields)
	return d
}

// addKeys notes the keys of a configuration, also where the VMs can't decode them.
func (c *checker) addKeys(n *node, inKeys bool) {
	switch v := n.value.(type) {
	case string:
		if inKeys && v != "" {
			c.keys[v] = true
		}
	case []*node:
		for _, e := range v {
			c.addKeys(e, inKeys)
		}
	case []member:
		for _, m := range v {
			if inKeys && m.name != "" {
				c.keys[m.name] = true
			}
			c.addKeys(m.value, inKeys || strings.EqualFold(m.name, "apiKeys"))
		}
	}
}

func (c *checker) add(s Severity, path string, line int, format string, args ...any) {
	c.findings = append(c.findings, Finding{s, path, line, fmt.Sprintf(format, args...)})
}

const (
	// maxQuoted bounds a name in a finding, in bytes.
	maxQuoted = 80
	// minHiddenPart is the length in bytes from which on a key is also looked for
	// inside of names. Shorter ones occur in them by chance.
	minHiddenPart = 6
)

// quote returns a name for a finding, unless it contains a key.
func (c *checker) quote(name string) string {
	if c.keys[name] {
		return "(hidden: it is a key)"
	}
	for k := range c.keys {
		if len(k) >= minHiddenPart && strings.Contains(name, k) {
			return "(hidden: it contains a key)"
		}
	}
	if len(name) > maxQuoted {
		return fmt.Sprintf("%q and %d bytes more", name[:maxQuoted], len(name)-maxQuoted)
	}
	return fmt.Sprintf("%q", name)
}
