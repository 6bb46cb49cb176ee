package levercheck

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"
)

// compare reports what differs from the version in force.
func (c *checker) compare(d, old *document) {
	if now, was := d.version(), old.version(); d.has("version") && now <= was {
		c.add(Error, "version", d.lineOf("version"), "%d is not newer than the one in force, %d", now, was)
	}
	c.compareEntries("routes", "route", routeFields, d.routes, old.routes)
	c.compareEntries("services", "service", serviceFields, d.services, old.services)
	if fields := changedFields(limitFields, d.limits, old.limits); len(fields) > 0 {
		c.add(Change, "limits", d.lineOf("limits"), "changed: %s", strings.Join(fields, ", "))
	}
	switch now, was := d.has("tenants"), old.has("tenants"); {
	case now && !was:
		c.add(Change, "tenants", d.lineOf("tenants"), "routes that are not public need a key from now on")
	case !now && was:
		c.add(Change, "tenants", 0, "routes need no key any more")
	}
	c.compareEntries("tenants", "organisation", tenantFields, d.tenants, old.tenants)
}

func (d *document) version() uint64 {
	if !d.has("version") {
		return 0
	}
	// fits has checked that it is in range.
	v, _ := strconv.ParseUint(string(d.fields["version"].value.(json.Number)), 10, 64)
	return v
}

// named is what a configuration says under one name: the first entry with it, and the
// keys of all of them, as VMs merge those.
type named struct {
	*entry
	keys map[string]bool
}

func group(entries []*entry) (map[string]*named, []string) {
	byName := make(map[string]*named, len(entries))
	var names []string
	for _, e := range entries {
		name := e.text("name")
		if name == "" {
			continue
		}
		if byName[name] == nil {
			byName[name] = &named{e, make(map[string]bool)}
			names = append(names, name)
		}
		keys, _ := e.texts("apiKeys")
		for _, k := range keys {
			byName[name].keys[k] = true
		}
	}
	return byName, names
}

func (c *checker) compareEntries(path, what string, known []field, entries, oldEntries []*entry) {
	now, names := group(entries)
	was, oldNames := group(oldEntries)
	for _, name := range names {
		e, old := now[name], was[name]
		if old == nil {
			c.add(Change, e.path, e.line, "%s %s is added%s", what, c.quote(name), keyChanges(e.keys, nil))
			continue
		}
		if text := strings.Join(changedFields(known, e.entry, old.entry), ", ") + keyChanges(e.keys, old.keys); text != "" {
			c.add(Change, e.path, e.line, "%s %s is changed: %s", what, c.quote(name), strings.TrimPrefix(text, ", "))
		}
	}
	for _, name := range oldNames {
		if now[name] == nil {
			c.add(Change, path, 0, "%s %s is removed%s", what, c.quote(name), keyChanges(nil, was[name].keys))
		}
	}
}

// keyChanges counts keys that are added and removed. It begins with a comma, or is empty.
func keyChanges(now, was map[string]bool) string {
	text := ""
	for i, n := range []int{countMissing(now, was), countMissing(was, now)} {
		if n > 0 {
			text += ", keys " + []string{"added", "removed"}[i] + ": " + strconv.Itoa(n)
		}
	}
	return text
}

// countMissing returns how many keys of a are not in b.
func countMissing(a, b map[string]bool) int {
	n := 0
	for k := range a {
		if !b[k] {
			n++
		}
	}
	return n
}

// changedFields names the fields that differ, other than keys.
func changedFields(known []field, e, old *entry) []string {
	var out []string
	for _, f := range known {
		if f.name != "apiKeys" && !same(e.fields[f.name], old.fields[f.name]) {
			out = append(out, f.name)
		}
	}
	if !slices.EqualFunc(e.others, old.others, func(a, b member) bool { return a.name == b.name && same(a.value, b.value) }) {
		out = append(out, "fields that are ignored")
	}
	return out
}
