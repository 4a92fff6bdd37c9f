package control

import (
	"context"
	"encoding/json"
	"net/http"

	"amaranthpaddle/fault"
	"amaranthpaddle/operatorapi"
)

// Membership lists and replaces the replicas of the control group.
type Membership interface {
	// Members returns the replicas and what the leader knows about them.
	Members() []operatorapi.Member
	// Replace adds a replica with a new id at the address as a learner, promotes
	// it to voter once it holds a synced snapshot, and removes the other replica.
	Replace(ctx context.Context, remove, add uint64, address string) error
}

var errNoMembership = fault.New(fault.NotFound, "this process has no control group to change")

func (s *Server) getMembers(r *http.Request) (any, error) {
	if err := s.confirmAsLeader(r.Context()); err != nil {
		return nil, err
	}
	if s.config.Membership == nil {
		return nil, errNoMembership
	}
	status := s.config.Node.Status()
	return operatorapi.Members{
		Leader:  status.Leader,
		Term:    status.Term,
		Members: s.config.Membership.Members(),
	}, nil
}

func (s *Server) postReplace(r *http.Request) (any, error) {
	if _, err := changeID(r); err != nil {
		return nil, err
	}
	if _, err := s.leading(); err != nil {
		return nil, err
	}
	if s.config.Membership == nil {
		return nil, errNoMembership
	}
	body, err := readBody(r)
	if err != nil {
		return nil, err
	}
	request := operatorapi.ReplaceRequest{}
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, fault.Wrap(fault.InvalidArgument, err, "replace request")
	}
	if err := s.config.Membership.Replace(r.Context(), request.Remove, request.Add, request.Address); err != nil {
		return nil, err
	}
	revision, _ := s.state.Revision()
	return operatorapi.ChangeResult{Revision: revision}, nil
}

func (s *Server) getBurn(r *http.Request) (any, error) {
	return s.burnSource(r.Context())
}
