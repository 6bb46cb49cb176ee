package leverupstream_test

import (
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leversnapshot"
	"arbutuslever.dev/lever/internal/leverupstream"
)

// BenchmarkCall makes calls over loopback. cpu-ns/op is the processor time of
// both ends together.
func BenchmarkCall(b *testing.B) {
	server := httptest.NewServer(answer(200, `{"attempt": 9, "version": 4, "run-state": "may-have-run"}`))
	defer server.Close()
	client := leverupstream.NewHTTPClient(8)
	u := leversnapshot.Upstream{ID: "u", Address: strings.TrimPrefix(server.URL, "http://")}
	q := levermsg.Query{Version: 4, Deadline: time.Now().Add(time.Hour)}
	b.ReportAllocs()
	before := cpu()
	for b.Loop() {
		if res := client.Do(b.Context(), u, &q, levermsg.Item{Attempt: 9}); res.Outcome != levermsg.OK {
			b.Fatal(res)
		}
	}
	b.ReportMetric(float64(cpu()-before)/float64(b.N), "cpu-ns/op")
}

func cpu() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}
