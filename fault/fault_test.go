package fault

import (
	"testing"

	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

func TestEveryKindHasACompleteAnswer(t *testing.T) {
	names := map[string]Kind{}
	for _, kind := range Kinds() {
		answer := kind.Answer()
		if answer.Name == "" || answer.HTTP < 400 || answer.GRPC == codes.OK || answer.Exit == ExitOK {
			t.Errorf("kind %d: incomplete answer %+v", kind, answer)
		}
		if answer.Outcome != OutcomeNotRun && answer.Outcome != OutcomeUnknown {
			t.Errorf("kind %v: a refusal has outcome %q", kind, answer.Outcome)
		}
		if other, taken := names[answer.Name]; taken {
			t.Errorf("kinds %d and %d share the name %q", other, kind, answer.Name)
		}
		names[answer.Name] = kind
		if answer.Exit == ExitInvalid && answer.Outcome != OutcomeNotRun {
			t.Errorf("kind %v: exit code 2 promises that nothing changed", kind)
		}
		if answer.Exit == ExitUnknown && answer.Outcome != OutcomeUnknown {
			t.Errorf("kind %v: exit code 5 with outcome %q", kind, answer.Outcome)
		}
	}
}

func TestEveryKindSurvivesGRPC(t *testing.T) {
	for _, kind := range Kinds() {
		back := FromStatus(ToStatus(errors.WithMessage(New(kind, "cause"), "context")))
		if KindOf(back) != kind {
			t.Errorf("kind %v came back as %v", kind, KindOf(back))
		}
	}
}

func TestStatusWithoutKindHasOutcomeUnknown(t *testing.T) {
	err := FromStatus(status.Error(codes.Unavailable, "transport is closing"))
	if KindOf(err).Answer().Outcome != OutcomeUnknown {
		t.Errorf("got %v, want an unknown outcome", KindOf(err))
	}
}

func TestKindOutsideTheListIsInternal(t *testing.T) {
	if Kind(-1).String() != "internal" || kindCount.String() != "internal" {
		t.Error("a kind outside the list must be answered as internal")
	}
}

func TestMessageNamesItsKindOnceOverProcesses(t *testing.T) {
	first := New(Conflict, "plan 7 was accepted with other content")
	over := FromStatus(ToStatus(FromStatus(ToStatus(first))))
	if over.Error() != first.Error() {
		t.Errorf("%q became %q", first, over)
	}
	if wrapped := Wrap(NoQuorum, first, "submit"); wrapped.Error() != "no-quorum: submit: "+first.Error() {
		t.Errorf("another kind's cause became %q", wrapped)
	}
}
