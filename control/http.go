package control

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/burn"
	"amaranthpaddle/fault"
	"amaranthpaddle/operatorapi"
	"amaranthpaddle/plan"
	"amaranthpaddle/telemetry"
)

const (
	maxChangeIDBytes = 256
	bearerPrefix     = "Bearer "
)

// Handler returns the operators' HTTP API, with /metrics, /healthz and /readyz.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	s.handle(mux, "POST "+operatorapi.PathPlan, s.postPlan)
	s.handle(mux, "GET "+operatorapi.PathPlan, s.getPlan)
	s.handle(mux, "POST "+operatorapi.PathZones+"{zone}/out", s.postZone(false))
	s.handle(mux, "POST "+operatorapi.PathZones+"{zone}/in", s.postZone(true))
	s.handle(mux, "POST "+operatorapi.PathVMs+"{vm}/drain", s.postDrain(true))
	s.handle(mux, "POST "+operatorapi.PathVMs+"{vm}/undrain", s.postDrain(false))
	s.handle(mux, "POST "+operatorapi.PathJobs+"{job}/cancel", s.postCancel)
	s.handle(mux, "GET "+operatorapi.PathStatus, s.getStatus)
	s.handle(mux, "GET "+operatorapi.PathTasks, s.getTasks)
	s.handle(mux, "GET "+operatorapi.PathBurn, s.getBurn)
	s.handle(mux, "GET "+operatorapi.PathControlMembers, s.getMembers)
	s.handle(mux, "POST "+operatorapi.PathControlReplace, s.postReplace)
	mux.Handle("GET /burn", burn.Handler(s.burnSource))
	mux.Handle("GET /burn/", burn.Handler(s.burnSource))
	mux.Handle("GET /metrics", telemetry.MetricsHandler(s.WriteMetrics))
	mux.HandleFunc("GET /healthz", s.getHealth)
	mux.HandleFunc("GET /readyz", s.getReady)
	return mux
}

// operation handles an operator's request and returns a JSON value or an error.
type operation func(r *http.Request) (any, error)

func (s *Server) handle(mux *http.ServeMux, pattern string, op operation) {
	mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, operatorapi.MaxBodyBytes)
		answer, err := s.runAuthorized(r, op)
		if err != nil {
			s.writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, answer)
	})
}

func (s *Server) runAuthorized(r *http.Request, op operation) (any, error) {
	if s.config.Authorize != nil {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
		if err := s.config.Authorize(token); err != nil {
			return nil, err
		}
	}
	return op(r)
}

func (s *Server) writeError(w http.ResponseWriter, err error) {
	leader := ""
	if fault.Is(err, fault.NotLeader) {
		leader = s.leaderPeer().OperatorAddress
	}
	operatorapi.WriteError(w, err, leader)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func readBody(r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(r.Body)
	if err == nil {
		return body, nil
	}
	if _, tooLarge := err.(*http.MaxBytesError); tooLarge {
		return nil, fault.Wrap(fault.TooLarge, err, "read body")
	}
	return nil, fault.Wrap(fault.InvalidArgument, err, "read body")
}

func changeID(r *http.Request) (string, error) {
	id := r.Header.Get(operatorapi.HeaderChangeID)
	if id == "" || len(id) > maxChangeIDBytes {
		return "", fault.New(fault.InvalidArgument, "a change needs a "+operatorapi.HeaderChangeID+" header of at most 256 bytes")
	}
	return id, nil
}

// commitAsLeader commits an operator's change. A follower refuses it, so that
// the client is told the leader's address.
func (s *Server) commitAsLeader(ctx context.Context, command *api.Command) (*api.CommandResult, error) {
	if _, err := s.leading(); err != nil {
		return nil, err
	}
	return s.commit(ctx, command)
}

// confirmAsLeader confirms a linearizable read. A follower refuses it.
func (s *Server) confirmAsLeader(ctx context.Context) error {
	if _, err := s.leading(); err != nil {
		return err
	}
	return s.confirmRead(ctx)
}

func (s *Server) postPlan(r *http.Request) (any, error) {
	id, err := changeID(r)
	if err != nil {
		return nil, err
	}
	body, err := readBody(r)
	if err != nil {
		return nil, err
	}
	if err := (&plan.DayPlan{}).Decode(body); err != nil {
		return nil, err
	}
	compressed, err := compressPlan(body)
	if err != nil {
		return nil, err
	}
	result, err := s.commitAsLeader(r.Context(), &api.Command{Body: &api.Command_SubmitPlan{
		SubmitPlan: &api.SubmitPlan{Plan: compressed, ChangeId: id},
	}})
	if err != nil {
		return nil, err
	}
	return operatorapi.PlanResult{
		Number:   result.PlanNumber,
		Digest:   hex.EncodeToString(result.PlanDigest),
		Revision: result.Revision,
		Repeated: result.Repeated,
		Warnings: result.Warnings,
	}, nil
}

func (s *Server) getPlan(r *http.Request) (any, error) {
	if err := s.confirmAsLeader(r.Context()); err != nil {
		return nil, err
	}
	return s.state.planInForce(), nil
}

func (s *State) planInForce() operatorapi.PlanInForce {
	s.mu.RLock()
	defer s.mu.RUnlock()
	latest := s.accepted.latest()
	return operatorapi.PlanInForce{
		Number:   latest.Number,
		Digest:   hex.EncodeToString(latest.Digest),
		Revision: latest.Revision,
		Plan:     json.RawMessage(s.planData),
	}
}

func (s *Server) postZone(inService bool) operation {
	return s.changeOperation(func(r *http.Request, id string) *api.Command {
		return &api.Command{Body: &api.Command_SetZone{
			SetZone: &api.SetZone{Zone: r.PathValue("zone"), InService: inService, ChangeId: id},
		}}
	})
}

func (s *Server) postDrain(drain bool) operation {
	return s.changeOperation(func(r *http.Request, id string) *api.Command {
		return &api.Command{Body: &api.Command_SetDrain{
			SetDrain: &api.SetDrain{Vm: r.PathValue("vm"), Drain: drain, ChangeId: id},
		}}
	})
}

func (s *Server) postCancel(r *http.Request) (any, error) {
	return s.changeOperation(func(r *http.Request, id string) *api.Command {
		return &api.Command{Body: &api.Command_CancelJob{
			CancelJob: &api.CancelJob{Job: r.PathValue("job"), ChangeId: id},
		}}
	})(r)
}

func (s *Server) changeOperation(command func(r *http.Request, id string) *api.Command) operation {
	return func(r *http.Request) (any, error) {
		id, err := changeID(r)
		if err != nil {
			return nil, err
		}
		result, err := s.commitAsLeader(r.Context(), command(r, id))
		if err != nil {
			return nil, err
		}
		return operatorapi.ChangeResult{Revision: result.Revision, Repeated: result.Repeated, Message: result.Message}, nil
	}
}

// getHealth reports a storage fault as an error, and success otherwise.
func (s *Server) getHealth(w http.ResponseWriter, _ *http.Request) {
	if storageFault := s.config.Node.Status().StorageFault; storageFault != "" {
		s.writeError(w, fault.New(fault.StorageFailed, storageFault))
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// getReady reports whether this replica can confirm a read with a quorum.
func (s *Server) getReady(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), time.Second)
	defer cancel()
	if err := s.confirmRead(ctx); err != nil {
		s.writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}
