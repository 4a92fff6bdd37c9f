package fleet

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
)

// changePublisher applies one random change to p.
func changePublisher(t *rapid.T, p *Publisher) {
	name := fmt.Sprintf("item-%d", rapid.IntRange(0, 5).Draw(t, "item"))
	switch rapid.IntRange(0, 5).Draw(t, "change") {
	case 0:
		p.SetZone(&api.Zone{Name: name, InService: rapid.Bool().Draw(t, "in")})
	case 1:
		p.SetService(&api.ServicePolicy{Name: name, ObjectiveMs: float64(rapid.IntRange(1, 3).Draw(t, "ms"))})
	case 2:
		p.RemoveService(name)
	case 3:
		p.SetServer(&api.BackendServer{Id: name, Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation")})
	case 4:
		p.RemoveServer(name)
	case 5:
		p.SetPlanNumber(p.Directory().PlanNumber() + 1)
	}
}

func TestWatcherThatSkipsRevisionsConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPublisher(NewDirectory())
		watched := NewDirectory()
		var seen []*api.DirectoryUpdate
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			for range rapid.IntRange(1, 3).Draw(t, "changes") {
				changePublisher(t, p)
			}
			p.Commit()
			if !rapid.Bool().Draw(t, "watch") {
				continue
			}
			if update := p.Since(watched.Revision()); update != nil {
				seen = append(seen, update)
				if err := watched.Apply(update); err != nil {
					t.Fatalf("apply: %v", err)
				}
			}
			if watched.Revision() != p.Directory().Revision() || !bytes.Equal(watched.Digest(), p.Directory().Digest()) {
				t.Fatalf("watcher at revision %d differs from the directory at revision %d", watched.Revision(), p.Directory().Revision())
			}
		}
		for _, old := range seen {
			before := watched.Revision()
			_ = watched.Apply(old)
			if watched.Revision() != before {
				t.Fatalf("an old update moved the watcher from revision %d to %d", before, watched.Revision())
			}
		}
	})
}

func TestDeltaFromAnotherRevisionIsRefused(t *testing.T) {
	d := NewDirectory()
	err := d.Apply(&api.DirectoryUpdate{Revision: 9, BaseRevision: 8})
	if !fault.Is(err, fault.Stale) || d.Revision() != 0 {
		t.Fatalf("error %v, revision %d", err, d.Revision())
	}
}

func TestDivergedWatcherIsDetected(t *testing.T) {
	p := NewPublisher(NewDirectory())
	p.SetZone(&api.Zone{Name: "a", InService: true})
	p.Commit()
	watched := NewDirectory()
	if err := watched.Apply(p.Since(0)); err != nil {
		t.Fatal(err)
	}
	watched.setZone(&api.Zone{Name: "a"})
	if err := watched.Apply(p.Directory().Check()); !fault.Is(err, fault.DataCorrupt) {
		t.Fatalf("error %v", err)
	}
}

func TestRevisionBeyondHistoryGetsFullUpdate(t *testing.T) {
	p := NewPublisher(NewDirectory())
	for i := range historyRevisions + 10 {
		p.SetPlanNumber(uint64(i + 1))
		p.Commit()
	}
	if base := p.Since(5).BaseRevision; base != 0 {
		t.Errorf("delta from revision %d, which is older than the history", base)
	}
	if base := p.Since(500).BaseRevision; base != 500 {
		t.Errorf("got base revision %d, want a delta from 500", base)
	}
}
