package leverrelay

import "context"

// storeWatch is a watch of the store that is started and stopped again and again. Two
// never run at once. The zero value is stopped.
type storeWatch struct {
	// cancel is nil while the watch is stopped.
	cancel context.CancelFunc
	// ended is closed when the last one has returned.
	ended chan struct{}
}

// start starts the watch unless it is running or the last one has not returned yet. It
// reports whether it did.
func (w *storeWatch) start(ctx context.Context, watch func(context.Context)) bool {
	if w.cancel != nil {
		return false
	}
	if w.ended != nil {
		select {
		case <-w.ended:
		default:
			return false
		}
	}
	ctx, w.cancel = context.WithCancel(ctx)
	w.ended = make(chan struct{})
	go w.run(ctx, watch, w.ended)
	return true
}

func (w *storeWatch) run(ctx context.Context, watch func(context.Context), ended chan<- struct{}) {
	defer close(ended)
	watch(ctx)
}

// stop ends the watch. It reports whether it was running.
func (w *storeWatch) stop() bool {
	if w.cancel == nil {
		return false
	}
	w.cancel()
	w.cancel = nil
	return true
}
