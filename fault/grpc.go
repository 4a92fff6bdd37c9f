package fault

import (
	"context"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// grpcDomain marks the error details that carry a Kind's name.
const grpcDomain = "amaranthpaddle"

// ToStatus returns err as a gRPC status error that carries its Kind. It returns nil for a nil err.
func ToStatus(err error) error {
	if err == nil {
		return nil
	}
	kind := KindOf(err)
	st := status.New(kind.Answer().GRPC, err.Error())
	detailed, detailErr := st.WithDetails(&errdetails.ErrorInfo{Reason: kind.String(), Domain: grpcDomain})
	if detailErr != nil {
		return st.Err()
	}
	return detailed.Err()
}

// FromStatus returns the error of a gRPC call as an Error. A status without a
// Kind did not come from a handler: it is ConnectionLost, or Canceled or
// DeadlineUnknown when the caller's context ended.
func FromStatus(err error) error {
	if err == nil {
		return nil
	}
	st, _ := status.FromError(err)
	for _, detail := range st.Details() {
		info, ok := detail.(*errdetails.ErrorInfo)
		if !ok || info.Domain != grpcDomain {
			continue
		}
		if kind, known := ParseKind(info.Reason); known {
			return Newf(kind, "%s", st.Message())
		}
	}
	switch {
	case st.Code() == codes.Canceled || err == context.Canceled:
		return Wrap(Canceled, err, "call")
	case st.Code() == codes.DeadlineExceeded:
		return Wrap(DeadlineUnknown, err, "call")
	default:
		return Wrap(ConnectionLost, err, "call")
	}
}
