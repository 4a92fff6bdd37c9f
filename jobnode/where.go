package jobnode

import (
	"encoding/json"
	"net"
	"net/http"

	"google.golang.org/protobuf/encoding/protojson"
	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
	"amaranthpaddle/jobcontrol"
	"amaranthpaddle/limit"
	"amaranthpaddle/operatorapi"
)

// ServeWhere answers operatorapi.PathJobWhere. A replica that does not lead names the
// leader's host with the port of its own listener, as the control replicas of a group
// are set up alike, and answers fault.NoQuorum when it knows no leader.
func (c *Control) ServeWhere(w http.ResponseWriter, r *http.Request) {
	data, err := limit.ReadBody(w, r, operatorapi.MaxWhereBytes)
	if err != nil {
		operatorapi.WriteError(w, err, "")
		return
	}
	query, err := readWhere(data)
	if err != nil {
		operatorapi.WriteError(w, err, "")
		return
	}
	explanation, err := c.server.Where(r.Context(), query)
	if fault.Is(err, fault.NotLeader) {
		leader := leaderAddress(c.server.LeaderHost(), r)
		if leader == "" {
			err = fault.New(fault.NoQuorum, "no leader is known")
		}
		operatorapi.WriteError(w, err, leader)
		return
	}
	if err != nil {
		operatorapi.WriteError(w, err, "")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(explanation); err != nil {
		klog.V(1).InfoS("Explanation not written", "error", err)
	}
}

func readWhere(data []byte) (query jobcontrol.WhereQuery, err error) {
	request := operatorapi.WhereRequest{}
	if err := json.Unmarshal(data, &request); err != nil {
		return query, fault.Wrap(fault.InvalidArgument, err, "request")
	}
	query = jobcontrol.WhereQuery{Job: request.Job, Host: request.Host, Path: request.Path}
	if len(request.Spec) > 0 {
		query.Spec = &api.JobSpec{}
		if err := protojson.Unmarshal(request.Spec, query.Spec); err != nil {
			return query, fault.Wrap(fault.InvalidArgument, err, "specification of the job")
		}
	}
	return query, nil
}

// leaderAddress returns the address of the listener on another host with the port that
// the request came in by, empty for an empty host.
func leaderAddress(host string, r *http.Request) string {
	local, known := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if host == "" || !known {
		return ""
	}
	_, port, err := net.SplitHostPort(local.String())
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, port)
}
