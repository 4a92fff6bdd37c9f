package main

import (
	"fmt"
	"time"
)

func init() {
	cases["hang"] = manyDependencies
	cases["timed"] = timedJobs
	cases["unknown"] = unknownIDs
	cases["path"] = badPaths
	cases["text"] = latinText
	cases["writer"] = otherWriter
}

func plainStep(count int) map[string]any {
	return map[string]any{"count": count, "cpu": 500, "mem_mb": 200, "estimated_ms": 500}
}

// handIn hands in plain jobs until each is acknowledged, and returns their paths.
func (c *cluster) handIn(prefix string, first, n int, spec string) (paths []string, err error) {
	for i := range n {
		path := fmt.Sprintf("%s%016x", prefix, first+i)
		if a := c.call(i, "POST", path, job(spec, plainStep(2))); a.status != 200 {
			return nil, fmt.Errorf("a plain job was answered %v", a)
		}
		paths = append(paths, path)
	}
	return paths, nil
}

// askFor asks for accepted jobs for finish_s, and returns those that no entry has answered with a state in
// that time.
func (c *cluster) askFor(paths []string) (missing []string) {
	const finish = 14 * time.Second
	open := map[string]bool{}
	for _, path := range paths {
		open[path] = true
	}
	for i, deadline := 0, time.Now().Add(finish); len(open) > 0 && time.Now().Before(deadline); i++ {
		for _, path := range paths {
			if open[path] && time.Now().Before(deadline) && c.call(i, "GET", path, nil).state != "" {
				delete(open, path)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	for _, path := range paths {
		if open[path] {
			missing = append(missing, path)
		}
	}
	return missing
}

// noteProcesses notes how often the platform has killed processes, and returns the sum.
func (c *cluster) noteProcesses() (kills int) {
	for _, p := range c.processes() {
		p.mu.Lock()
		c.rec.note("%s: at most %d MiB of %d, killed for it %d times, ended by itself %d times", p.name, p.peakKB>>10, p.memoryMB, p.overKill, p.exits-p.overKill)
		kills += p.overKill
		p.mu.Unlock()
	}
	return kills
}

// often returns how many control replicas were killed for their memory three times or more.
func (c *cluster) often() (n int) {
	for _, p := range c.control {
		p.mu.Lock()
		if p.overKill >= 3 {
			n++
		}
		p.mu.Unlock()
	}
	return n
}

// running returns how many tasks of a job run, of all jobs for an empty id.
func (c *cluster) running(id string) (n int) {
	for _, m := range c.minions {
		n += m.runningOf(id)
	}
	return n
}
