package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const bootSettings = `{"node": "vm1", "ip": "127.0.0.1", "platform": {"address": "127.0.0.1:1"},
	"listen": {"front": "127.0.0.1:2", "ready": "127.0.0.1:3", "control": "127.0.0.1:4"}}`

// settingsWriter writes the complete settings file after a delay.
type settingsWriter struct {
	path  string
	delay time.Duration
}

func (w *settingsWriter) run() {
	time.Sleep(w.delay)
	_ = os.WriteFile(w.path, []byte(bootSettings), 0o600)
}

// TestStartWithHalfWrittenSettings starts while the settings file is being written.
// The process must wait for the rest, and give up with the clear error if it does
// not come.
func TestStartWithHalfWrittenSettings(t *testing.T) {
	cases := map[string]struct {
		first string
		delay time.Duration
		want  string
	}{
		"half written":         {bootSettings[:40], time.Second, ""},
		"empty":                {"", time.Second, ""},
		"field missing":        {`{"node": "vm1"}`, time.Second, ""},
		"stays invalid":        {bootSettings[:40], time.Minute, "unexpected end of JSON input"},
		"valid from the first": {bootSettings, time.Minute, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "local.json")
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				is.NoErr(os.WriteFile(path, []byte(c.first), 0o600))
				w := &settingsWriter{path: path, delay: c.delay}
				go w.run()
				began := time.Now()
				s, err := awaitSettings(path, began.Add(settingsWait))
				is.True(time.Since(began) <= settingsWait+settingsPollInterval)
				if c.want == "" {
					is.NoErr(err)
					is.Equal(s.Node, "vm1")
				} else {
					is.True(err != nil && strings.Contains(err.Error(), c.want))
				}
				time.Sleep(time.Minute)
			})
		})
	}
}
