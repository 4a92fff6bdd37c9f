package limit

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/telemetry"
)

// reportInterval is the pause between log lines of one kind; a crowd would write one for
// each of its connections.
const reportInterval = time.Second

// throttle lets one of many events through in each interval.
type throttle struct {
	mu         sync.Mutex
	last       map[string]time.Time
	suppressed map[string]int
}

// pass reports whether an event of a kind may be logged, and how many were not since the
// last one.
func (t *throttle) pass(kind string, now time.Time) (suppressed int, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.last == nil {
		t.last, t.suppressed = map[string]time.Time{}, map[string]int{}
	}
	if now.Sub(t.last[kind]) < reportInterval {
		t.suppressed[kind]++
		return 0, false
	}
	suppressed = t.suppressed[kind]
	t.last[kind], t.suppressed[kind] = now, 0
	return suppressed, true
}

type refusalReport struct{ throttle }

func (r *refusalReport) add(kind string, err error) {
	telemetry.BodyRefusals.Add(1, kind)
	if suppressed, ok := r.pass(kind, time.Now()); ok {
		klog.InfoS("Request body refused", "kind", kind, "error", err, "suppressed", suppressed)
	}
}

type closureReport struct{ throttle }

func (r *closureReport) add(listener, reason string) {
	telemetry.ConnectionsClosed.Add(1, listener, reason)
	if suppressed, ok := r.pass(listener+" "+reason, time.Now()); ok {
		klog.InfoS("Connection closed at the bound", "server", listener, "reason", reason, "suppressed", suppressed)
	}
}

var (
	refusals refusalReport
	closures closureReport
)
