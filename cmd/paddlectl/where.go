package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"amaranthpaddle/dispatch"
	"amaranthpaddle/fault"
	"amaranthpaddle/operatorapi"
)

func jobWhere(ctx context.Context, s *session) error {
	body, err := s.whereRequest()
	if err != nil {
		return err
	}
	var answer dispatch.Explanation
	if err := s.client.Query(ctx, operatorapi.PathJobWhere, body, &answer); err != nil {
		return err
	}
	return s.print(answer, func(t *table) { whereTable(t, &answer) })
}

// whereRequest returns the body of the request for the job or file on the command line.
func (s *session) whereRequest() ([]byte, error) {
	request := operatorapi.WhereRequest{Job: s.name, Host: s.host, Path: s.path}
	switch {
	case (s.name == "") == (s.file == ""):
		return nil, fault.New(fault.InvalidArgument, "job where needs either the id of a job or --file")
	case s.file == "" && (s.host != "" || s.path != ""):
		return nil, fault.New(fault.InvalidArgument, "--host and --path go with --file")
	case s.file != "" && (s.host == "" || s.path == ""):
		return nil, fault.New(fault.InvalidArgument, "--file needs --host and --path")
	}
	if s.file != "" {
		data, err := os.ReadFile(s.file)
		if err != nil {
			return nil, fault.Wrap(fault.InvalidArgument, err, "job")
		}
		if !json.Valid(data) {
			return nil, fault.Newf(fault.InvalidArgument, "%s is not JSON", s.file)
		}
		request.Spec = data
	}
	body, err := json.Marshal(request)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "request")
	}
	if len(body) > operatorapi.MaxWhereBytes {
		return nil, fault.Newf(fault.TooLarge, "the job exceeds %d bytes", operatorapi.MaxWhereBytes)
	}
	return body, nil
}

func whereTable(t *table, e *dispatch.Explanation) {
	name := "job " + e.Job
	if e.Job == "" {
		name = "a job that is not sent"
	}
	t.line("%s, %s, queue %s, service %s, priority %d", name, e.Phase, e.Queue, e.Service, e.Priority)
	if a := e.Admission; a != nil {
		verdict, reason := "accepted", ""
		if a.Refused {
			verdict = fmt.Sprintf("refused, retry after %v", milliseconds(a.RetryAfterMS))
		}
		if a.Reason != "" {
			reason = ": " + a.Reason
		}
		t.line("admission: %s, expected wait %v%s", verdict, milliseconds(a.WaitMS), reason)
	}
	t.heading("GROUP", "STATE", "TASKS", "WAITING", "BEFORE", "LATENESS", "VALUE/CORE S", "STARTS", "LEFT", "ROOM IN", "LATEST", "WORKER", "OBSTACLES")
	for i := range e.Groups {
		g := &e.Groups[i]
		likely, latest, worker := "-", "-", "-"
		if g.Room != nil {
			likely, latest, worker = milliseconds(g.Room.LikelyMS).String(), milliseconds(g.Room.LatestMS).String(), g.Room.Worker
		}
		before, lateness, density := "-", "-", "-"
		if g.State == dispatch.GroupReady {
			before, lateness, density = fmt.Sprint(g.GroupsBefore), g.Lateness, fmt.Sprintf("%.3g", g.Density)
		}
		t.row(groupName(g), g.State, g.Tasks, g.Waiting, before, lateness, density, g.Starts, g.Left, likely, latest, worker, obstaclesText(g.Obstacles))
	}
	omitted(t, e.GroupsOmitted, "groups")
	startsTable(t, e)
	reservationsTable(t, e)
}

func reservationsTable(t *table, e *dispatch.Explanation) {
	if !slices.ContainsFunc(e.Groups, func(g dispatch.GroupExplanation) bool { return len(g.Reservations) > 0 }) {
		return
	}
	t.heading("GROUP", "RESERVED ON", "TASKS", "ROOM IN", "LATEST")
	for i := range e.Groups {
		for _, r := range e.Groups[i].Reservations {
			t.row(groupName(&e.Groups[i]), r.Worker, r.Tasks, milliseconds(r.LikelyMS), milliseconds(r.LatestMS))
		}
	}
}

func startsTable(t *table, e *dispatch.Explanation) {
	if !slices.ContainsFunc(e.Groups, func(g dispatch.GroupExplanation) bool { return g.Starts > 0 }) {
		return
	}
	t.heading("GROUP", "WOULD START ON", "ZONE", "RACK", "TASKS")
	for i := range e.Groups {
		for _, w := range e.Groups[i].Workers {
			t.row(groupName(&e.Groups[i]), w.Worker, w.Zone, w.Rack, w.Starts)
		}
		omitted(t, e.Groups[i].WorkersOmitted, "workers")
	}
}

func omitted(t *table, n int, what string) {
	if n > 0 {
		t.line("and %d more %s", n, what)
	}
}

// groupName returns the occurrence and the index of a group.
func groupName(g *dispatch.GroupExplanation) string {
	return fmt.Sprintf("%d/%d", g.Occurrence, g.Group)
}

func obstaclesText(obstacles map[dispatch.Obstacle]int) string {
	var texts []string
	for _, obstacle := range slices.Sorted(maps.Keys(obstacles)) {
		texts = append(texts, fmt.Sprintf("%s %d", obstacle, obstacles[obstacle]))
	}
	if len(texts) == 0 {
		return "-"
	}
	return strings.Join(texts, ", ")
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
