package levernode

import (
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
)

// pathLossDetection is the longest time that a VM takes to notice that its path to the
// store is lost: the watching VM notices it when its watch does not return, and a VM that
// follows it may lose its connection to it just then.
const pathLossDetection = watchPause + configWatchWait + configWatchGrace + relayDeadAfter + 100*time.Millisecond

// observePath records whether there is a path to the store, and logs when requests that
// need a key are refused from now on, or served again.
func (n *Node) observePath(hasPath bool) {
	now := n.timer.Now()
	n.keys.Observe(hasPath, now)
	reason := ""
	if c := n.engine.Directory.View().Config; c != nil && c.KeysRequired {
		reason = n.keys.Refuse(now)
	}
	if refused := reason != ""; n.keysRefused.Swap(refused) != refused {
		n.log.Info("the use of keys has changed", "refused", refused, "reason", reason)
	}
}

// refuseKeys returns why requests that need a key are refused now, or "".
func (n *Node) refuseKeys() string { return n.keys.Refuse(n.timer.Now()) }

// awaitsPath reports whether this VM has just started and can't tell yet whether the
// keys that it knows are valid.
func (n *Node) awaitsPath(c *leverdirectory.Config) bool {
	return c.KeysRequired && n.keys.Starting(n.timer.Now())
}
