package agent

import (
	"encoding/json"
	"net/http"
	"time"

	"amaranthpaddle/fault"
	"amaranthpaddle/telemetry"
	"amaranthpaddle/worker"
)

const maxAnnouncementBytes = 16 << 10

// routes returns the handler of the agent's local interface.
func (a *Agent) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/backends", a.handleAnnounce)
	mux.HandleFunc("DELETE /v1/backends/{id}", a.handleLeave)
	mux.HandleFunc("GET /healthz", handleHealth)
	mux.HandleFunc("GET /readyz", a.handleReady)
	mux.Handle("GET /metrics", telemetry.MetricsHandler(a.WriteMetrics))
	return mux
}

func (a *Agent) handleAnnounce(w http.ResponseWriter, r *http.Request) {
	var announcement worker.Announcement
	body := http.MaxBytesReader(w, r.Body, maxAnnouncementBytes)
	if err := json.NewDecoder(body).Decode(&announcement); err != nil {
		writeError(w, fault.Wrap(fault.InvalidArgument, err, "announcement"))
		return
	}
	if err := a.registry.Announce(announcement, time.Now()); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (a *Agent) handleLeave(w http.ResponseWriter, r *http.Request) {
	a.registry.Leave(r.PathValue("id"))
	w.WriteHeader(http.StatusNoContent)
}

func handleHealth(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

func (a *Agent) handleReady(w http.ResponseWriter, _ *http.Request) {
	if a.isLeaving() {
		writeError(w, fault.New(fault.Draining, "the agent is leaving"))
		return
	}
	w.WriteHeader(http.StatusOK)
}

func writeError(w http.ResponseWriter, err error) {
	answer := fault.KindOf(err).Answer()
	http.Error(w, err.Error(), answer.HTTP)
}
