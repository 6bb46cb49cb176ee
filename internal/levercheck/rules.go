package levercheck

import "strconv"

// checkDocument reports what is wrong or without effect in a configuration that could be
// decoded.
func (c *checker) checkDocument(d *document) {
	if !d.has("version") && !d.wrong["version"] {
		c.add(Error, "version", d.lineOf("version"), "is missing: VMs ignore a configuration without it")
	}
	c.checkNames(d.routes, "route")
	services := c.checkNames(d.services, "service")
	c.checkNames(d.tenants, "organisation")
	used := make(map[string]bool)
	places := make(map[[2]string]*entry)
	for _, r := range d.routes {
		c.checkRoute(r)
		c.checkTargets(r, d.targets[r], services, used)
		place := [2]string{r.text("host"), r.text("pathPrefix")}
		if first := places[place]; first != nil {
			c.add(Warning, r.path, r.line, "never matches: %s, line %d, has the same host and prefix", first.path, first.line)
			continue
		}
		places[place] = r
	}
	for _, s := range d.services {
		if name := s.text("name"); name != "" && !used[name] {
			c.add(Warning, s.path, s.line, "no route uses the service %s", c.quote(name))
		}
		if s.number("coldPerS") > 0 && s.number("coldStartS") <= 0 {
			c.add(Error, s.path+".coldPerS", s.lineOf("coldPerS"), "has no effect without coldStartS")
		}
	}
	c.checkTenants(d)
}

// checkNames reports missing and repeated names, and returns the entries by name.
func (c *checker) checkNames(entries []*entry, what string) map[string]*entry {
	byName := make(map[string]*entry, len(entries))
	for _, e := range entries {
		name := e.text("name")
		switch first := byName[name]; {
		case name == "" && !e.wrong["name"]:
			c.add(Error, e.path+".name", e.lineOf("name"), "is missing")
		case name == "":
		case first != nil:
			c.add(Warning, e.path+".name", e.lineOf("name"), "repeats the %s %s of %s, line %d", what, c.quote(name), first.path, first.line)
		default:
			byName[name] = e
		}
	}
	return byName
}

func (c *checker) checkRoute(r *entry) {
	if objective, timeout := r.number("objectiveMs"), r.number("timeoutMs"); objective > timeout {
		c.add(Error, r.path+".objectiveMs", r.lineOf("objectiveMs"), "%s is above timeoutMs, %s", figure(objective), figure(timeout))
	}
	if share := r.number("minShare"); share > 1 {
		c.add(Error, r.path+".minShare", r.lineOf("minShare"), "%s is above 1: no answer covers that much", figure(share))
	}
	if len(r.elements("gather")) > 0 && r.number("topK") <= 0 {
		c.add(Error, r.path+".topK", r.lineOf("topK"), "is missing or 0: with gather, answers hold no record")
	}
	switch n := r.number("maxAttempts"); {
	case n > 0:
	case r.has("maxAttempts"):
		c.add(Error, r.path+".maxAttempts", r.lineOf("maxAttempts"), "%s allows no attempt: VMs make 1", figure(n))
	default:
		c.add(Warning, r.path+".maxAttempts", r.line, "is missing: VMs make 1 attempt")
	}
	if kind := r.text("kind"); r.fields["kind"] != nil && kind != "safe" && kind != "unsafe" {
		c.add(Warning, r.path+".kind", r.lineOf("kind"), "%s counts as unsafe; it is neither safe nor unsafe", c.quote(kind))
	}
}

// checkTargets checks where a route sends its requests, and notes these services.
func (c *checker) checkTargets(r *entry, split []*entry, services map[string]*entry, used map[string]bool) {
	use := func(name, path string, line int) {
		used[name] = true
		switch {
		case name == "":
			c.add(Error, path, line, "names no service")
		case services[name] == nil:
			c.add(Error, path, line, "the service %s is not in services", c.quote(name))
		}
	}
	ways := 0
	if name := r.text("service"); name != "" {
		ways++
		use(name, r.path+".service", r.lineOf("service"))
	}
	if len(split) > 0 {
		ways++
		total := 0.0
		for _, t := range split {
			use(t.text("service"), t.path+".service", t.lineOf("service"))
			w := t.number("weight")
			total += max(w, 0)
			if w < 0 {
				c.add(Error, t.path+".weight", t.lineOf("weight"), "%s is negative", figure(w))
			}
		}
		if total == 0 {
			c.add(Error, r.path+".trafficSplit", r.lineOf("trafficSplit"), "all weights are 0: no service receives requests")
		}
	}
	if gather := r.elements("gather"); len(gather) > 0 {
		ways++
		for i, n := range gather {
			name, _ := n.value.(string)
			use(name, r.path+".gather["+strconv.Itoa(i)+"]", n.line)
		}
	}
	switch {
	case ways == 0 && !r.wrong["service"] && !r.wrong["trafficSplit"] && !r.wrong["gather"]:
		c.add(Error, r.path, r.line, "has none of service, trafficSplit and gather")
	case ways > 1:
		c.add(Error, r.path, r.line, "has %d of service, trafficSplit and gather; only one may be there", ways)
	}
}

func (c *checker) checkTenants(d *document) {
	holders := make(map[string]*entry)
	for _, t := range d.tenants {
		keys, places := t.texts("apiKeys")
		if len(keys) == 0 && !t.wrong["apiKeys"] {
			c.add(Warning, t.path+".apiKeys", t.lineOf("apiKeys"), "holds no key: no caller can use this organisation")
		}
		for i, k := range keys {
			switch first := holders[k]; {
			case first == nil:
				holders[k] = t
			case first.text("name") != t.text("name"):
				c.add(Error, t.path+".apiKeys", places[i].line, "a key is also one of %s, line %d, to which VMs assign its callers", first.path, first.line)
			default:
				c.add(Warning, t.path+".apiKeys", places[i].line, "a key occurs twice")
			}
		}
		if t.number("burst") > 0 && t.number("ratePerS") <= 0 {
			c.add(Error, t.path+".burst", t.lineOf("burst"), "has no effect without ratePerS")
		}
		for _, name := range []string{"ratePerS", "burst"} {
			if v := t.number(name); v < 0 {
				c.add(Error, t.path+"."+name, t.lineOf(name), "%s is negative: VMs use 0", figure(v))
			}
		}
	}
}
