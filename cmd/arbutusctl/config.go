package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"

	"arbutuslever.dev/lever/internal/leverconfig"
	"arbutuslever.dev/lever/pkg/leverapi"
)

type configGet struct{ cli }

// Execute prints the configuration in force.
func (c *configGet) Execute([]string) error {
	var cfg leverapi.Config
	if err := c.get("config", &cfg); err != nil {
		return err
	}
	if c.printJSON(cfg) {
		return nil
	}
	doc, err := json.MarshalIndent(cfg.Document, "", "  ")
	if err != nil {
		return err
	}
	c.printf("// version %d\n%s\n", cfg.Version, doc)
	return nil
}

type configPatch struct {
	cli
	Base *uint64 `long:"base" required:"true" description:"version that the patch is based on"`
	ID   string  `long:"id" description:"patch id of an earlier attempt with unknown outcome"`
	By   string  `long:"by" env:"USER" description:"author of the patch"`
	Args struct {
		File string `positional-arg-name:"FILE" description:"JSON merge patch, comments allowed; - for standard input"`
	} `positional-args:"true" required:"true"`
}

// Execute submits the patch and prints its outcome.
func (c *configPatch) Execute([]string) error {
	merge, err := readPatch(c.Args.File)
	if err != nil {
		return err
	}
	if c.ID == "" {
		c.ID = fmt.Sprintf("p-%016x", rand.Uint64())
	}
	p := leverapi.ConfigPatch{ID: c.ID, Base: *c.Base, By: c.By, Merge: merge}
	var out leverapi.ConfigOutcome
	if err := c.do("POST", "config", p, &out); err != nil {
		return c.withPatchID(err)
	}
	if !c.printJSON(out) {
		c.printf("%s: version %d, patch %s\n", out.Verdict, out.Version, out.PatchID)
	}
	return verdictError(out)
}

// withPatchID adds the patch id to the error of a request that got no answer, so
// that the patch can be resent under the same id.
func (c *configPatch) withPatchID(err error) error {
	e, ok := err.(*exitError)
	if !ok || e.code != exitUnavailable {
		return err
	}
	return exitErrorf(exitUnknown, "%s; the outcome is unknown: send the patch again with --id %s", e.text, c.ID)
}

func verdictError(out leverapi.ConfigOutcome) error {
	codes := map[string]int{"rejected": exitRejected, "conflict": exitConflict, "unknown": exitUnknown, "unavailable": exitUnavailable}
	code, failed := codes[out.Verdict]
	if !failed {
		return nil
	}
	text := out.Verdict + ": " + out.Detail
	switch out.Verdict {
	case "conflict":
		text += fmt.Sprintf("; read version %d and make the patch anew", out.Version)
	case "unknown":
		text += "; send the patch again with --id " + out.PatchID
	}
	return exitErrorf(code, "%s", text)
}

// readPatch reads a JSON file with comments and returns standard JSON. The path
// - means standard input.
func readPatch(path string) (json.RawMessage, error) {
	raw, err := readInput(path)
	if err != nil {
		return nil, err
	}
	standard, err := leverconfig.Standardize(raw)
	if err != nil {
		return nil, exitErrorf(exitRejected, "%s: %v", path, err)
	}
	if !json.Valid(standard) {
		return nil, exitErrorf(exitRejected, "%s: not valid JSON", path)
	}
	return standard, nil
}

type configStatus struct{ cli }

// Execute prints the VMs on which the newest version is in force. It fails if
// any VM is behind or doesn't answer.
func (c *configStatus) Execute([]string) error {
	var s leverapi.FleetStatus
	if err := c.get("status", &s); err != nil {
		return err
	}
	if !c.printJSON(s) {
		c.printf("version %d is in force on %d of %d VMs\n", s.Version, s.InForce, len(s.VMs)+len(s.Silent))
		for _, vm := range s.VMs {
			c.printf("  %-12s %-12s version %d\n", vm.VM, vm.Domain, vm.Config)
		}
		if len(s.Behind) > 0 {
			c.printf("behind: %s\n", strings.Join(s.Behind, ", "))
		}
		if len(s.Silent) > 0 {
			c.printf("not confirmed, no answer: %s\n", strings.Join(s.Silent, ", "))
		}
	}
	if len(s.Behind)+len(s.Silent) > 0 {
		return exitErrorf(exitUnknown, "version %d is not confirmed on %d VMs", s.Version, len(s.Behind)+len(s.Silent))
	}
	return nil
}

type configHistory struct{ cli }

// Execute prints the accepted patches.
func (c *configHistory) Execute([]string) error {
	var cfg leverapi.Config
	if err := c.get("config", &cfg); err != nil {
		return err
	}
	if c.printJSON(cfg.History) {
		return nil
	}
	for _, a := range cfg.History {
		c.printf("%6d  %s  %-20s %s\n", a.Version, a.At.Format("2006-01-02T15:04:05Z"), a.By, a.ID)
	}
	return nil
}

type configSettings struct {
	cli
	Markdown bool `long:"markdown" description:"print Markdown tables"`
}

// Execute prints the settings that documents are validated against.
func (c *configSettings) Execute([]string) error {
	c.printf("%s", settingsTable("system", leverconfig.SystemSettings, c.Markdown))
	c.printf("%s", settingsTable("defaults, services.NAME", leverconfig.ServiceSettings, c.Markdown))
	return nil
}

func settingsTable[T any](path string, table []leverconfig.Setting[T], markdown bool) string {
	var b strings.Builder
	if markdown {
		fmt.Fprintf(&b, "\nUnder `%s`:\n\n| key | unit | default | allowed | meaning |\n| --- | --- | --- | --- | --- |\n", path)
	}
	for _, s := range table {
		if markdown {
			fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", s.Key, s.Unit, s.Default, s.Bounds(), s.Doc)
			continue
		}
		fmt.Fprintf(&b, "%s: %s = %s %s (%s): %s\n", path, s.Key, s.Default, s.Unit, s.Bounds(), s.Doc)
	}
	return b.String()
}
