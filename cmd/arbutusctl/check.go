package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"

	"arbutuslever.dev/lever/internal/levercheck"
	"arbutuslever.dev/lever/internal/leverconfig"
	"arbutuslever.dev/lever/internal/leverlog"
	"arbutuslever.dev/lever/pkg/leverapi"
	"arbutuslever.dev/lever/platform"
)

// Exit codes of config check for a configuration of the users' platform.
const (
	exitFindings   = 1
	exitNotChecked = 2
)

// againstLive stands for the version in force in the store.
const againstLive = "live"

type configCheck struct {
	cli
	Against *string `long:"against" value-name:"FILE|live" description:"compare to the version in force: a file, or live for the store's"`
	Store   string  `long:"store" value-name:"HOST:PORT" description:"address of the platform's store, for --against live"`
	Args    struct {
		File string `positional-arg-name:"FILE" description:"configuration of the users' platform, or JSON merge patch of the native API, comments allowed there; - for standard input"`
	} `positional-args:"true"`
}

// Execute checks a configuration of the users' platform without sending it. A patch of
// the native API, with no option of the former, is validated by a VM.
func (c *configCheck) Execute([]string) error {
	if c.Args.File == "" {
		return exitErrorf(exitNotChecked, "config check: the FILE is missing")
	}
	raw, err := readInput(c.Args.File)
	if err != nil {
		return exitErrorf(exitNotChecked, "%v", err)
	}
	if c.Against == nil && c.Store == "" {
		if merge, ok := asPatch(raw); ok {
			return c.checkPatch(merge)
		}
	}
	inForce, err := c.inForce()
	if err != nil {
		return exitErrorf(exitNotChecked, "%v", err)
	}
	findings, err := levercheck.Check(raw, inForce)
	if err != nil {
		return exitErrorf(exitNotChecked, "%v", err)
	}
	return c.report(findings)
}

// asPatch returns a merge patch of the native API as standard JSON. Its members are
// sections of the native document, none of which a configuration of the users' platform
// has with the same type.
func asPatch(raw []byte) (json.RawMessage, bool) {
	standard, err := leverconfig.Standardize(raw)
	if err != nil {
		return nil, false
	}
	var sections map[string]json.RawMessage
	if err := json.Unmarshal(standard, &sections); err != nil || len(sections) == 0 {
		return nil, false
	}
	for name, section := range sections {
		isNative := name == "system" || name == "defaults" || name == "services"
		if !isNative || section[0] != '{' && string(section) != "null" {
			return nil, false
		}
	}
	return standard, true
}

// checkPatch validates a patch against the current version. With --json it prints the
// resulting configuration.
func (c *configCheck) checkPatch(merge json.RawMessage) error {
	var cfg leverapi.Config
	if err := c.do("POST", "config/check", leverapi.ConfigPatch{ID: "check", Merge: merge}, &cfg); err != nil {
		return err
	}
	if !c.printJSON(cfg) {
		c.printf("valid against version %d\n", cfg.Version)
	}
	return nil
}

// inForce returns the version to compare to, or nil without --against.
func (c *configCheck) inForce() ([]byte, error) {
	switch {
	case c.Against == nil && c.Store != "":
		return nil, exitErrorf(exitNotChecked, "--store %s has no use without --against live", c.Store)
	case c.Against == nil:
		return nil, nil
	case *c.Against != againstLive:
		return readInput(*c.Against)
	case c.Store == "":
		return nil, exitErrorf(exitNotChecked, "--against live needs --store HOST:PORT")
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	return platform.NewStore(c.Store, &http.Client{}, leverlog.Logger{}).CurrentConfig(ctx)
}

// checkReport is the output of config check with --json.
type checkReport struct {
	File     string               `json:"file"`
	Errors   int                  `json:"errors"`
	Warnings int                  `json:"warnings"`
	Changes  int                  `json:"changes"`
	Findings []levercheck.Finding `json:"findings"`
}

// report prints the findings and fails if there is an error among them.
func (c *configCheck) report(findings []levercheck.Finding) error {
	r := checkReport{File: c.Args.File, Findings: append([]levercheck.Finding{}, findings...)}
	for _, f := range findings {
		switch f.Severity {
		case levercheck.Error:
			r.Errors++
		case levercheck.Warning:
			r.Warnings++
		case levercheck.Change:
			r.Changes++
		}
	}
	if !c.printJSON(r) {
		for _, f := range findings {
			c.printf("%s: %s\n", r.File, f)
		}
		c.printf("%d errors, %d warnings, %d changes\n", r.Errors, r.Warnings, r.Changes)
	}
	if r.Errors > 0 {
		return exitErrorf(exitFindings, "%s: %d errors", r.File, r.Errors)
	}
	return nil
}

// readInput reads a file, or standard input if the path is -.
func readInput(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}
