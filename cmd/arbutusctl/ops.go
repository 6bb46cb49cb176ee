package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"arbutuslever.dev/lever/pkg/leverapi"
)

// cli provides the requests and the output of a command; commands embed it.
type cli interface {
	// get requests a path of the operator API and decodes the answer into v.
	get(path string, v any) error
	// do sends a request to the operator API and decodes the answer into v.
	do(method, path string, body, v any) error
	// printJSON prints v if --json is set, and reports whether it is.
	printJSON(v any) bool
	printf(format string, args ...any)
	addresses() []string
	// withAddress returns a copy that uses only the given VM.
	withAddress(address string) cli
}

const requestTimeout = 15 * time.Second

func (c *commonOptions) get(path string, v any) error { return c.do(http.MethodGet, path, nil, v) }

// do tries the VMs in turn until one answers. A refusal is returned as an
// *exitError.
func (c *commonOptions) do(method, path string, body, v any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	var lastErr error
	for _, address := range c.VM {
		status, answer, err := c.send(method, address, path, raw)
		if err != nil {
			lastErr = err
			continue
		}
		return decode(status, answer, v)
	}
	return exitErrorf(exitUnavailable, "no VM answers: %v", lastErr)
}

func (c *commonOptions) send(method, address, path string, body []byte) (int, []byte, error) {
	r, err := http.NewRequest(method, "http://"+address+"/v1/operator/"+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	r.Header.Set("Authorization", "Bearer "+c.Key)
	client := &http.Client{Timeout: requestTimeout}
	w, err := client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer w.Body.Close()
	b, err := io.ReadAll(w.Body)
	return w.StatusCode, b, err
}

func decode(status int, answer []byte, v any) error {
	var p leverapi.Problem
	if status != http.StatusOK && json.Unmarshal(answer, &p) == nil && p.Type != "" {
		code := exitUsage
		if p.Reason() == "rejected" {
			code = exitRejected
		}
		return exitErrorf(code, "%s", p.Detail)
	}
	if err := json.Unmarshal(answer, v); err != nil {
		return exitErrorf(exitUnavailable, "invalid answer with status %d: %v", status, err)
	}
	return nil
}

func (c *commonOptions) printJSON(v any) bool {
	if !c.JSON {
		return false
	}
	e := json.NewEncoder(c.out)
	e.SetIndent("", "  ")
	// A closed pipe is not an error.
	_ = e.Encode(v)
	return true
}

func (c *commonOptions) printf(format string, args ...any) { fmt.Fprintf(c.out, format, args...) }

func (c *commonOptions) addresses() []string { return c.VM }

func (c *commonOptions) withAddress(address string) cli {
	options := *c
	options.VM = []string{address}
	return &options
}
