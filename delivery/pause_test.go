package delivery

import (
	"net/http"
	"testing"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
)

func TestPausedDeliveryRefusesNewAttemptsAndCompletesRunningOnes(t *testing.T) {
	release := make(chan struct{})
	began := make(chan struct{}, 1)
	d, client := start(t, nil, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		began <- struct{}{}
		<-release
	}))
	held := make(chan *api.DeliverResponse, 1)
	first := charge(d, "before")
	go func() { held <- send(t, client, first) }()
	<-began
	d.Pause(true)
	if refusal := send(t, client, charge(d, "paused")).GetRefusal(); refusal.GetKind() != fault.Draining.String() {
		t.Errorf("an attempt while paused: got %v, want a draining refusal", refusal)
	}
	// Backend servers may register while paused, for example after a restart.
	d.SetServers([]Server{
		{ID: "a", Service: "ledger", URL: "http://127.0.0.1:1", Slots: 8, Connections: 64},
		{ID: "b", Service: "ledger", URL: "http://127.0.0.1:1", Slots: 8, Connections: 64},
	})
	if !d.Load()["b"].Leaving {
		t.Error("a backend server registered while paused accepts work")
	}
	close(release)
	if end := (<-held).GetEnd(); end == nil {
		t.Error("the pause ended the attempt in progress")
	}
	d.Pause(false)
	if d.Load()["b"].Leaving {
		t.Error("a resumed backend server accepts no work")
	}
}

func TestResumedDeliveryCountsTheAttemptsInProgress(t *testing.T) {
	release := make(chan struct{})
	began := make(chan struct{}, 1)
	d, client := start(t, nil, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		began <- struct{}{}
		<-release
	}))
	held := make(chan *api.DeliverResponse, 1)
	first := charge(d, "before")
	go func() { held <- send(t, client, first) }()
	<-began
	d.Pause(true)
	d.Pause(false)
	if load := d.Load()["a"]; load.Running != 1 || load.Leaving {
		t.Errorf("load after the pause: %v", load)
	}
	d.Drain()
	d.Pause(true)
	d.Pause(false)
	if !d.Load()["a"].Leaving {
		t.Error("resuming after a pause undid the drain")
	}
	close(release)
	<-held
}
