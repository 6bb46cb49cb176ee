package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strings"

	"arbutuslever.dev/lever/internal/leverconfig"
	"arbutuslever.dev/lever/pkg/leverapi"
)

type configGet struct{ shell }

// Execute prints the configuration.
func (c *configGet) Execute([]string) error {
	var cfg leverapi.Config
	if err := c.get("config", &cfg); err != nil {
		return err
	}
	if c.show(cfg) {
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
	shell
	Base *uint64 `long:"base" required:"true" description:"version that the patch was written against"`
	ID   string  `long:"id" description:"patch id of an earlier try whose outcome is unknown"`
	By   string  `long:"by" env:"USER" description:"who sends the patch"`
	Args struct {
		File string `positional-arg-name:"FILE" description:"JSON merge patch, comments allowed; - for standard input"`
	} `positional-args:"true" required:"true"`
}

// Execute sends the patch and says how it ended.
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
		return c.lost(err)
	}
	if !c.show(out) {
		c.printf("%s: version %d, patch %s\n", out.Verdict, out.Version, out.PatchID)
	}
	return verdictError(out)
}

// lost adds the patch id to the error of a request without an answer.
func (c *configPatch) lost(err error) error {
	e, ok := err.(*exitError)
	if !ok || e.code != exitUnavailable {
		return err
	}
	return exitWith(exitUnknown, "%s; the outcome is unknown: send the patch again with --id %s", e.text, c.ID)
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
	return exitWith(code, "%s", text)
}

// readPatch reads JSON with comments.
func readPatch(path string) (json.RawMessage, error) {
	var raw []byte
	var err error
	if path == "-" {
		raw, err = io.ReadAll(os.Stdin)
	} else {
		raw, err = os.ReadFile(path)
	}
	if err != nil {
		return nil, err
	}
	std, err := leverconfig.Standardize(raw)
	if err != nil {
		return nil, exitWith(exitRejected, "%s: %v", path, err)
	}
	if !json.Valid(std) {
		return nil, exitWith(exitRejected, "%s: not JSON", path)
	}
	return std, nil
}

type configCheck struct {
	shell
	Args struct {
		File string `positional-arg-name:"FILE" description:"JSON merge patch, comments allowed; - for standard input"`
	} `positional-args:"true" required:"true"`
}

// Execute prints the document that the patch would make.
func (c *configCheck) Execute([]string) error {
	merge, err := readPatch(c.Args.File)
	if err != nil {
		return err
	}
	var cfg leverapi.Config
	if err := c.do("POST", "config/check", leverapi.ConfigPatch{ID: "check", Merge: merge}, &cfg); err != nil {
		return err
	}
	if !c.show(cfg) {
		c.printf("valid against version %d\n", cfg.Version)
	}
	return nil
}

type configStatus struct{ shell }

// Execute prints which VMs have the newest version.
func (c *configStatus) Execute([]string) error {
	var s leverapi.FleetStatus
	if err := c.get("status", &s); err != nil {
		return err
	}
	if !c.show(s) {
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
		return exitWith(exitUnknown, "version %d is not confirmed on %d VMs", s.Version, len(s.Behind)+len(s.Silent))
	}
	return nil
}

type configHistory struct{ shell }

// Execute prints the accepted patches.
func (c *configHistory) Execute([]string) error {
	var cfg leverapi.Config
	if err := c.get("config", &cfg); err != nil {
		return err
	}
	if c.show(cfg.History) {
		return nil
	}
	for _, a := range cfg.History {
		c.printf("%6d  %s  %-20s %s\n", a.Version, a.At.Format("2006-01-02T15:04:05Z"), a.By, a.ID)
	}
	return nil
}

type configSettings struct {
	shell
	Markdown bool `long:"markdown" description:"print a table for the operators' page"`
}

// Execute prints the table that checks documents.
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
