package control

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
)

// maxClaimKeyBytes limits the length of an idempotency key with its service prefix.
const maxClaimKeyBytes = 1024

// Claim grants an attempt the right to run the request with an idempotency key.
// The grant is committed by a quorum.
func (s *Server) Claim(ctx context.Context, request *api.ClaimRequest) (*api.ClaimResponse, error) {
	response, err := s.claim(ctx, request)
	if err != nil {
		s.setLeaderTrailer(ctx)
	}
	return response, fault.ToStatus(err)
}

func (s *Server) claim(ctx context.Context, request *api.ClaimRequest) (*api.ClaimResponse, error) {
	if request.Key == "" || len(request.Key) > maxClaimKeyBytes || request.Attempt == "" {
		return nil, fault.New(fault.InvalidArgument, "a claim needs a key of at most 1024 bytes and an attempt")
	}
	result, err := s.commit(ctx, &api.Command{Body: &api.Command_ClaimKey{ClaimKey: &api.ClaimKey{
		Request:     request,
		RetentionMs: s.config.ClaimRetention.Milliseconds(),
		Limit:       uint32(s.config.ClaimLimit),
	}}})
	if err != nil {
		return nil, err
	}
	return result.Claim, nil
}

// Report records an entry's service-level counts. Each report counts once.
func (s *Server) Report(ctx context.Context, report *api.EntryReport) (*api.EntryReportAck, error) {
	if report.Entry == "" || report.Sequence == 0 {
		return nil, fault.ToStatus(fault.New(fault.InvalidArgument, "a report needs an entry and a sequence"))
	}
	result, err := s.commit(ctx, &api.Command{Body: &api.Command_RecordCounts{RecordCounts: &api.RecordCounts{Report: report}}})
	if err != nil {
		s.setLeaderTrailer(ctx)
		return nil, fault.ToStatus(err)
	}
	s.recordEntry(report)
	return &api.EntryReportAck{Sequence: result.Sequence}, nil
}

// entryView holds what the leader knows from an entry's last report.
type entryView struct {
	revision   uint64
	lastReport time.Time
}

func (s *Server) recordEntry(report *api.EntryReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries[report.Entry] = entryView{revision: report.Revision, lastReport: time.Now()}
}

func (s *Server) setLeaderTrailer(ctx context.Context) {
	if trailer := s.leaderMetadata(); trailer != nil {
		_ = grpc.SetTrailer(ctx, trailer)
	}
}
