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

// shell is what every command shares; commands embed it.
type shell interface {
	// get asks an operator's path and reads the answer into v.
	get(path string, v any) error
	do(method, path string, body, v any) error
	// show prints v as JSON if that was asked for, and says whether it did.
	show(v any) bool
	printf(format string, args ...any)
	addresses() []string
	// at returns a shell for one address.
	at(address string) shell
}

const opsTimeout = 15 * time.Second

// get asks the VMs in turn until one answers, and reads its answer into v.
func (c *common) get(path string, v any) error { return c.do(http.MethodGet, path, nil, v) }

// do sends one operator's request. A refusal is an *exitError.
func (c *common) do(method, path string, body, v any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	var last error
	for _, address := range c.VM {
		status, answer, err := c.send(method, address, path, raw)
		if err != nil {
			last = err
			continue
		}
		return decode(status, answer, v)
	}
	return exitWith(exitUnavailable, "no VM answers: %v", last)
}

func (c *common) send(method, address, path string, body []byte) (int, []byte, error) {
	r, err := http.NewRequest(method, "http://"+address+"/v1/operator/"+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	r.Header.Set("Authorization", "Bearer "+c.Key)
	client := &http.Client{Timeout: opsTimeout}
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
		return exitWith(code, "%s", p.Detail)
	}
	if err := json.Unmarshal(answer, v); err != nil {
		return exitWith(exitUnavailable, "answer with status %d: %v", status, err)
	}
	return nil
}

// show prints v as JSON if that was asked for, and says whether it did.
func (c *common) show(v any) bool {
	if !c.JSON {
		return false
	}
	e := json.NewEncoder(c.out)
	e.SetIndent("", "  ")
	// Writing to a closed pipe needs no report.
	_ = e.Encode(v)
	return true
}

func (c *common) printf(format string, args ...any) { fmt.Fprintf(c.out, format, args...) }

func (c *common) addresses() []string { return c.VM }

func (c *common) at(address string) shell {
	one := *c
	one.VM = []string{address}
	return &one
}
