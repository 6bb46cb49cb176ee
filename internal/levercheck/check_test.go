package levercheck_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"arbutuslever.dev/lever/internal/levercheck"

	"github.com/matryer/is"
)

const (
	// goodRoute has all that a route needs except where its requests go.
	goodRoute = `"host":"h","pathPrefix":"/","kind":"safe","timeoutMs":100,"objectiveMs":50,"maxAttempts":2`
	good      = `{"version":3,"limits":{"maxBodyBytes":99},
"routes":[{"name":"r",` + goodRoute + `,"service":"s"}],
"services":[{"name":"s","maxConnections":2,"coldStartS":1,"coldPerS":2}],
"tenants":[{"name":"o","apiKeys":["key-of-o-1","key-of-o-2"],"ratePerS":5,"burst":2}]}`
)

func route(rest string) string {
	return `{"version":3,"services":[{"name":"s"}],` + "\n" + `"routes":[{"name":"r",` + goodRoute + `,"service":"s"},` + "\n" + `{"name":"q","host":"g",` +
		strings.TrimPrefix(goodRoute, `"host":"h",`) + `,` + rest + `}]}`
}

func tenants(list string) string {
	return strings.Replace(good, `"tenants":[`, `"tenants":[`+list+`,`, 1)
}

// TestFindings guards against configurations that VMs ignore in whole or in part, or
// read otherwise than their author meant, without a word before they are in force.
func TestFindings(t *testing.T) {
	cases := map[string]struct {
		raw string
		// want are parts of the findings in their order.
		want []string
	}{
		"good":                  {good, nil},
		"empty":                 {"", []string{"line 1: error: the text can't be read"}},
		"cut off":               {good[:len(good)-3], []string{"line 4: error: the text can't be read"}},
		"two values":            {"{}\n{}", []string{"line 2: error: the text can't be read"}},
		"nested too deep":       {strings.Repeat("[", 100000), []string{"line 1: error: the text can't be read: invalid character"}},
		"a list":                {"\n[]", []string{"line 2: error: the configuration is a list"}},
		"null":                  {"null", []string{"error: version: is missing"}},
		"negative version":      {`{"version":-1}`, []string{"error: version: is not a whole number that is not negative"}},
		"services is an object": {"{\"version\":1,\n\"services\":{}}", []string{"line 2: error: services: is an object instead of a list"}},
		"fraction":              {route(`"service":"s","priority":1.5`), []string{"line 3: error: routes[1].priority: is not a whole number"}},
		"fraction of zero":      {route(`"service":"s","priority":1.0,"topK":2e1`), nil},
		"fraction of a time":    {strings.Replace(good, `"timeoutMs":100`, `"timeoutMs":100.5`, 1), nil},
		"time out of range":     {strings.Replace(good, `"timeoutMs":100`, `"timeoutMs":1e30`, 1), []string{"line 2: error: routes[0].timeoutMs: is not a number of milliseconds, or out of range", "objectiveMs: 50 is above"}},
		"text as number":        {route(`"service":"s","priority":"1"`), []string{"routes[1].priority: is a string instead of a whole number"}},
		"number as flag":        {route(`"service":"s","public":1`), []string{"routes[1].public: is not true or false"}},
		"route is a string":     {`{"version":1,"routes":["r"]}`, []string{"error: routes[0]: is a string instead of an object"}},
		"unknown field":         {route(`"service":"s","prority":1`), []string{`line 3: warning: routes[1]: "prority" is ignored`}},
		"other case":            {route(`"service":"s","PRIORITY":1`), nil},
		"repeated field":        {route(`"service":"s","public":true,"public":false`), []string{"warning: routes[1].public: occurs more than once"}},
		"no name":               {route(`"name":"","service":"s"`), []string{"warning: routes[1].name: occurs more", "error: routes[1].name: is missing"}},
		"repeated name":         {route(`"name":"r","service":"s"`), []string{"occurs more", `warning: routes[1].name: repeats the route "r" of routes[0], line 2`}},
		"unknown service":       {route(`"service":"t"`), []string{`line 3: error: routes[1].service: the service "t" is not in services`}},
		"unknown shard":         {route(`"gather":["s","t"],"topK":1`), []string{`error: routes[1].gather[1]: the service "t" is not`}},
		"shard without name":    {route(`"gather":["s",null],"topK":1`), []string{"error: routes[1].gather[1]: names no service"}},
		"target without name":   {route(`"trafficSplit":[{"weight":1}]`), []string{"error: routes[1].trafficSplit[0].service: names no service"}},
		"no way":                {route(`"gather":[]`), []string{"line 3: error: routes[1]: has none of"}},
		"two ways":              {route(`"service":"s","gather":["s"],"topK":1`), []string{"error: routes[1]: has 2 of"}},
		"shadowed":              {route(`"host":"h","service":"s"`), []string{"occurs more", "line 3: warning: routes[1]: never matches: routes[0], line 2"}},
		"unused service":        {`{"version":1,"services":[{"name":"s"}]}`, []string{`warning: services[0]: no route uses the service "s"`}},
		"objective":             {route(`"service":"s","objectiveMs":1000000`), []string{"occurs more", "error: routes[1].objectiveMs: 1000000 is above timeoutMs, 100"}},
		"share":                 {route(`"service":"s","minShare":1.5`), []string{"error: routes[1].minShare: 1.5 is above 1"}},
		"topK missing":          {route(`"gather":["s"]`), []string{"error: routes[1].topK: is missing or 0"}},
		"no attempt":            {route(`"service":"s","maxAttempts":0`), []string{"occurs more", "error: routes[1].maxAttempts: 0 allows no attempt"}},
		"attempts missing":      {route(`"service":"s","maxAttempts":null`), []string{"occurs more", "warning: routes[1].maxAttempts: is missing"}},
		"kind":                  {route(`"service":"s","kind":"sage"`), []string{"occurs more", `warning: routes[1].kind: "sage" counts as unsafe`}},
		"weights":               {route(`"trafficSplit":[{"service":"s","weight":0}]`), []string{"error: routes[1].trafficSplit: all weights are 0"}},
		"negative weight":       {route(`"trafficSplit":[{"service":"s","weight":1},{"service":"s","weight":-1}]`), []string{"error: routes[1].trafficSplit[1].weight: -1 is negative"}},
		"cold":                  {strings.Replace(good, `"coldStartS":1,`, "", 1), []string{"error: services[0].coldPerS: has no effect without coldStartS"}},
		"burst":                 {strings.Replace(good, `"ratePerS":5,`, "", 1), []string{"line 4: error: tenants[0].burst: has no effect without ratePerS"}},
		"negative rate":         {strings.Replace(good, `"ratePerS":5,"burst":2`, `"ratePerS":-5`, 1), []string{"error: tenants[0].ratePerS: -5 is negative"}},
		"no keys":               {tenants(`{"name":"p","apiKeys":[""]}`), []string{"warning: tenants[0].apiKeys: holds no key"}},
		"shared key":            {tenants("{\"name\":\"p\",\"apiKeys\":[\n\"key-of-o-2\"]}"), []string{"line 5: error: tenants[1].apiKeys: a key is also one of tenants[0], line 4"}},
		"key twice":             {tenants(`{"name":"p","apiKeys":["k","k"]}`), []string{"warning: tenants[0].apiKeys: a key occurs twice"}},
		"number among keys":     {tenants(`{"name":"p","apiKeys":["key-of-p",7]}`), []string{"error: tenants[0].apiKeys: holds an element that is not a string"}},
		"key as a field":        {tenants(`{"name":"p","apiKeys":["k"],"key-of-p":1}`), []string{"warning: tenants[0]: a member is ignored"}},
		"key as a name":         {tenants(`{"name":"p","apiKeys":["key-of-p"]},{"name":"for key-of-p","apiKeys":["k"]},{"name":"for key-of-p"}`), []string{"repeats the organisation (hidden: it contains a key)", "holds no key"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			findings, err := levercheck.Check([]byte(c.raw), nil)
			is.New(t).NoErr(err)
			expect(t, findings, c.want)
		})
	}
}

func expect(t *testing.T, findings []levercheck.Finding, want []string) {
	t.Helper()
	for i := range max(len(findings), len(want)) {
		if i >= len(findings) || i >= len(want) || !strings.Contains(findings[i].String(), want[i]) {
			t.Fatalf("findings are\n%v\nwant\n%q", findings, want)
		}
	}
	if text := fmt.Sprint(findings); strings.Contains(text, "key-of-") {
		t.Errorf("findings contain a key: %s", text)
	}
}

// TestCompare guards against versions that aren't newer than the one in force, and
// against changes by mistake, such as a lost key, that the text alone doesn't show.
func TestCompare(t *testing.T) {
	newer := strings.Replace(good, `"version":3`, `"version":4`, 1)
	replaced := func(old, text string) string { return strings.Replace(newer, old, text, 1) }
	cases := map[string]struct {
		raw  string
		want []string
	}{
		"nothing":      {newer, nil},
		"same version": {good, []string{"line 1: error: version: 3 is not newer than the one in force, 3"}},
		"old version":  {strings.Replace(good, `"version":3`, `"version":2`, 1), []string{"2 is not newer than"}},
		"other order":  {replaced(`"name":"s","maxConnections":2`, `"maxConnections":2,"name":"s"`), nil},
		"route": {replaced(`"timeoutMs":100,"objectiveMs":50`, `"timeoutMs":90,"objectiveMs":40`),
			[]string{`line 2: change: routes[0]: route "r" is changed: timeoutMs, objectiveMs`}},
		"renamed": {replaced(`{"name":"r"`, `{"name":"q"`), []string{`change: routes: route "r" is removed`, `line 2: change: routes[0]: route "q" is added`}},
		"service": {replaced(`"maxConnections":2`, `"maxConnections":1`), []string{`change: services[0]: service "s" is changed: maxConnections`}},
		"limits":  {replaced(`99`, `98`), []string{"line 1: change: limits: changed: maxBodyBytes"}},
		"organisation": {replaced(`"key-of-o-1","key-of-o-2"],"ratePerS":5`, `"key-of-o-3"],"ratePerS":4`),
			[]string{`change: tenants[0]: organisation "o" is changed: ratePerS, keys added: 1, keys removed: 2`}},
		"keys alone": {replaced(`,"key-of-o-2"`, ``), []string{`organisation "o" is changed: keys removed: 1`}},
		"moved key": {replaced(`,"key-of-o-2"],"ratePerS":5,"burst":2}`, `],"ratePerS":5,"burst":2},{"name":"p","apiKeys":["key-of-o-2"]}`),
			[]string{`organisation "o" is changed: keys removed: 1`, `tenants[1]: organisation "p" is added, keys added: 1`}},
		"no organisations": {newer[:strings.Index(newer, ",\n\"tenants")] + "}",
			[]string{"change: tenants: routes need no key any more", `change: tenants: organisation "o" is removed, keys removed: 2`}},
		"former key as a name": {replaced(`{"name":"o","apiKeys":["key-of-o-1",`, `{"name":"key-of-o-1","apiKeys":[`),
			[]string{`organisation "o" is removed`, "organisation (hidden: it is a key) is added"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			findings, err := levercheck.Check([]byte(c.raw), []byte(good))
			is.New(t).NoErr(err)
			expect(t, findings, c.want)
		})
	}
	for _, unreadable := range []string{"", "{", "[]", `{"version":"3"}`, `{"tenants":[{"apiKeys":["key-of-o-1"]}]}`} {
		_, err := levercheck.Check([]byte(newer), []byte(unreadable))
		if err == nil || strings.Contains(err.Error(), "key-of-") {
			t.Errorf("compared to %q: error %v", unreadable, err)
		}
	}
}

// FuzzCheck guards against texts that end the process, and against keys in findings.
func FuzzCheck(f *testing.F) {
	for _, seed := range []string{
		good, good[:len(good)/3], tenants(`{"name":"key-of-o-1"},{"apiKeys":{"key-of-p-1":["key-of-p-2"]}},{"key-of-o-1":1},null,[]`), route(`"gather":"s","trafficSplit":[null,7]`),
		``, `null`, `[]`, `{"version":1e999}`, `{"version":9223372036854775808,"routes":[null]}`, `{"tenants":null,"limits":[]}`, `{"ROUTES":[{"Name":"\ud800"}],"":{}}`, "\xef\xbb\xbf{}", "{\"\xff\":1}",
	} {
		f.Add([]byte(seed), []byte(good))
		f.Add([]byte(good), []byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw, inForce []byte) {
		findings, err := levercheck.Check(raw, inForce)
		text := fmt.Sprint(findings, err)
		for _, b := range [][]byte{raw, inForce} {
			var c struct{ Tenants []struct{ APIKeys []string } }
			if json.Unmarshal(b, &c) != nil {
				continue
			}
			for _, tenant := range c.Tenants {
				for _, k := range tenant.APIKeys {
					if len(k) >= 8 && strings.Contains(text, k) {
						t.Fatalf("the key %q is in %s", k, text)
					}
				}
			}
		}
		for _, finding := range findings {
			if finding.Message == "" || finding.Line < 0 || finding.Line > 1+strings.Count(string(raw), "\n") {
				t.Fatalf("finding %+v", finding)
			}
		}
	})
}
