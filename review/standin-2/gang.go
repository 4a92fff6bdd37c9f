package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// gangHub is what the minions of the platform share: which members of a gang's run are
// present. They talk to each other, as the tasks of a gang do.
type gangHub struct {
	mu    sync.Mutex
	gangs map[string]*gang
}

// gang is one run of a gang.
type gang struct {
	hub     *gangHub
	key     string // ID.K.STEP and run
	size    int
	members map[string]*member // by task
	working bool
	broken  bool
	began   time.Time
	base    time.Duration
	done    bool
}

type member struct {
	minion     *minion
	checkpoint string
	since      time.Time
}

func newGangHub() *gangHub { return &gangHub{gangs: map[string]*gang{}} }

// join adds a run that has just started.
func (h *gangHub) join(m *minion, r *run) *gang {
	h.mu.Lock()
	defer h.mu.Unlock()
	step := r.task[:strings.LastIndex(r.task, ".")]
	key := fmt.Sprintf("%s#%d", step, r.number)
	g := h.gangs[key]
	if g == nil {
		g = &gang{hub: h, key: key, size: r.plan.gangOf, members: map[string]*member{}}
		h.gangs[key] = g
	}
	g.members[r.task] = &member{m, r.checkpoint, time.Now()}
	if len(g.members) == g.size && !g.broken {
		values := map[string]bool{}
		for _, other := range g.members {
			values[other.checkpoint] = true
		}
		if len(values) == 1 {
			g.working, g.began, g.base = true, time.Now(), progressOf(r.checkpoint)
			m.fleet.record.note("gang %s: all %d members are present with the same checkpoint; they work", key, g.size)
		} else {
			m.fleet.record.note("gang %s: all %d members are present, but carry %d different checkpoints", key, g.size, len(values))
			m.fleet.record.mixedCheckpoints++
		}
	}
	return g
}

// leave removes a run that has ended.
func (g *gang) leave(m *minion, r *run, how string) {
	g.hub.mu.Lock()
	defer g.hub.mu.Unlock()
	delete(g.members, r.task)
	if how == "done" {
		g.done = true
		return
	}
	g.broken = true
}

// step lets a member work, and returns how it ends now, empty if it goes on.
func (g *gang) step(m *minion, r *run, now time.Time) string {
	g.hub.mu.Lock()
	defer g.hub.mu.Unlock()
	switch {
	case g.done:
		return "done"
	case g.working && !g.broken:
		worked := now.Sub(g.began)
		if g.base > 0 {
			worked -= restoreTime
		}
		r.worked = g.base + max(worked, 0)
		if r.worked >= r.plan.work {
			g.done = true
			return "done"
		}
	case g.working && g.broken:
		return "broken"
	case now.Sub(r.began) >= gangTimeout:
		return "alone"
	}
	return ""
}
