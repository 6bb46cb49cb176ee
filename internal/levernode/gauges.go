package levernode

import (
	"runtime"

	"arbutuslever.dev/lever/internal/leverpool"
)

// registerGauges registers the gauges that are evaluated when the metrics are
// read.
func (n *Node) registerGauges() {
	m := n.opts.Metrics
	if m == nil {
		return
	}
	m.Gauge("config-version", func() float64 {
		if c := n.engine.Directory.View().Config; c != nil {
			return float64(c.Version)
		}
		return 0
	})
	if n.evacuations != nil {
		m.Gauge("domains-evacuated", func() float64 { return float64(len(n.engine.Directory.View().EvacuatedDomains())) })
	}
	if n.archive != nil {
		m.Gauge("crash-records", func() float64 { return float64(n.archive.Len()) })
	}
	m.Gauge("requests-in-flight", func() float64 { return float64(n.engine.InFlight()) })
	m.Gauge("store-current", func() float64 { return boolValue(n.mirror.Current()) })
	m.Gauge("keys-refused", func() float64 { return boolValue(n.keysRefused.Load()) })
	m.Gauge("store-watched-here", func() float64 { return boolValue(n.relay.IsWatching()) })
	m.Gauge("runs-fan-outs", func() float64 { return boolValue(n.delegate.RunsLocally()) })
	m.Gauge("vms-listed", func() float64 { return float64(n.members.Len()) })
	m.Gauge("vms-live", func() float64 { return float64(len(n.members.Live(n.timer.Now()))) })
	m.Gauge("peer-connections", func() float64 { return float64(n.controlPeers.Connections() + n.workPeers.Connections()) })
	m.Gauge("answer-lag-ms", func() float64 { return n.engine.AnswerLag().Seconds() * 1000 })
	for name, value := range map[string]func(leverpool.Stats) int64{
		"upstream-connections-made":        func(s leverpool.Stats) int64 { return s.Dialed },
		"upstream-connections-failed":      func(s leverpool.Stats) int64 { return s.Failed },
		"upstream-connections-reused":      func(s leverpool.Stats) int64 { return s.Reused },
		"upstream-connections-turned-away": func(s leverpool.Stats) int64 { return s.NewConnResets },
		"upstream-connections-open":        func(s leverpool.Stats) int64 { return s.Open },
		"calls-waiting-for-one":            func(s leverpool.Stats) int64 { return s.Waiting },
	} {
		m.Gauge(name, func() float64 { return float64(value(n.engine.Pool.Stats())) })
	}
	m.Gauge("goroutines", func() float64 { return float64(runtime.NumGoroutine()) })
	m.Gauge("memory-bytes", func() float64 {
		var s runtime.MemStats
		runtime.ReadMemStats(&s)
		return float64(s.Sys)
	})
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
