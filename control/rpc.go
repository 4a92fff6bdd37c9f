package control

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
)

// maxClaimKeyBytes bounds an idempotency key with its service.
const maxClaimKeyBytes = 1024

// Claim gives an attempt the right to run the request of a key, committed by a
// quorum.
func (s *Server) Claim(ctx context.Context, request *api.ClaimRequest) (*api.ClaimResponse, error) {
	response, err := s.claim(ctx, request)
	if err != nil {
		s.trailLeader(ctx)
	}
	return response, fault.ToStatus(err)
}

func (s *Server) claim(ctx context.Context, request *api.ClaimRequest) (*api.ClaimResponse, error) {
	if request.Key == "" || len(request.Key) > maxClaimKeyBytes || request.Attempt == "" {
		return nil, fault.New(fault.InvalidArgument, "a claim needs a key of at most 1024 bytes and an attempt")
	}
	result, err := s.commit(ctx, &api.Command{Body: &api.Command_ClaimKey{ClaimKey: &api.ClaimKey{
		Request:     request,
		RetentionMs: s.config.ClaimKeep.Milliseconds(),
		Limit:       uint32(s.config.ClaimLimit),
	}}})
	if err != nil {
		return nil, err
	}
	return result.Claim, nil
}

// Report takes in an entry's service-level counts, each report once.
func (s *Server) Report(ctx context.Context, report *api.EntryReport) (*api.EntryReportAck, error) {
	if report.Entry == "" || report.Sequence == 0 {
		return nil, fault.ToStatus(fault.New(fault.InvalidArgument, "a report needs an entry and a sequence"))
	}
	result, err := s.commit(ctx, &api.Command{Body: &api.Command_RecordCounts{RecordCounts: &api.RecordCounts{Report: report}}})
	if err != nil {
		s.trailLeader(ctx)
		return nil, fault.ToStatus(err)
	}
	s.noteEntry(report)
	return &api.EntryReportAck{Sequence: result.Sequence}, nil
}

// entryView is what the leader has heard of an entry.
type entryView struct {
	revision uint64
	heard    time.Time
}

func (s *Server) noteEntry(report *api.EntryReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries[report.Entry] = entryView{revision: report.Revision, heard: time.Now()}
}

func (s *Server) trailLeader(ctx context.Context) {
	if trailer := s.leaderMetadata(); trailer != nil {
		_ = grpc.SetTrailer(ctx, trailer)
	}
}
