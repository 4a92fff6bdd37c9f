package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/pkg/errors"

	"amaranthpaddle/fault"
	"amaranthpaddle/operatorclient"
	"amaranthpaddle/plan"
)

// session is what a command works with.
type session struct {
	*options
	client *operatorclient.Client
	stdout io.Writer
}

func newSession(o *options, stdout io.Writer) (*session, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	if err := o.complete(); err != nil {
		return nil, err
	}
	security, err := o.security()
	if err != nil {
		return nil, err
	}
	token, err := readToken(o.tokenFile)
	if err != nil {
		return nil, err
	}
	client := operatorclient.New(o.addresses, security, token)
	return &session{options: o, client: client, stdout: stdout}, nil
}

func (s *session) close() { s.client.Close() }

// readToken returns the first token of a file, "" for no file.
func readToken(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return "", fault.Wrap(fault.InvalidArgument, err, "token file")
	}
	tokens := strings.Fields(string(data))
	if len(tokens) == 0 {
		return "", fault.Newf(fault.InvalidArgument, "token file %s is empty", file)
	}
	return tokens[0], nil
}

// readSheet reads the sheet named on the command line.
func (s *session) readSheet() (*plan.DayPlan, error) {
	file, err := os.Open(s.file)
	if err != nil {
		return nil, fault.Wrap(fault.InvalidArgument, err, "sheet")
	}
	defer file.Close()
	p, faults := plan.ReadSheet(s.file, file)
	return p, faults.Err()
}

// changeIDOr returns the id given on the command line, else the derived one,
// which is kept so that an unknown outcome can name it.
func (s *session) changeIDOr(derived string) string {
	if s.changeID == "" {
		s.changeID = derived
	}
	return s.changeID
}

// failure is the JSON form of a command's error.
type failure struct {
	Kind     string   `json:"kind"`
	Message  string   `json:"message"`
	Outcome  string   `json:"outcome"`
	ChangeID string   `json:"change_id,omitempty"`
	Faults   []string `json:"faults,omitempty"`
}

// report writes err, if any, to stderr and returns the exit code.
func report(stderr io.Writer, o *options, err error) int {
	if err == nil {
		return fault.ExitOK
	}
	answer := fault.KindOf(err).Answer()
	var faults plan.Faults
	isSheet := errors.As(err, &faults)
	switch {
	case o.output == outputJSON:
		writeFailure(stderr, o, err, faults)
	case isSheet:
		fmt.Fprintln(stderr, faults)
		fmt.Fprintf(stderr, "refused whole: %d faults, nothing changed\n", len(faults))
	default:
		fmt.Fprintln(stderr, err)
	}
	if answer.Exit == fault.ExitUnknown && o.output != outputJSON && o.changeID != "" {
		fmt.Fprintf(stderr, "outcome unknown: the change may have taken effect; repeat the command with --change-id %s\n", o.changeID)
	}
	return answer.Exit
}

func writeFailure(stderr io.Writer, o *options, err error, faults plan.Faults) {
	answer := fault.KindOf(err).Answer()
	f := failure{Kind: answer.Name, Message: err.Error(), Outcome: string(answer.Outcome), ChangeID: o.changeID}
	for _, one := range faults {
		f.Faults = append(f.Faults, one.Error())
	}
	if len(faults) > 0 {
		f.Message = "the sheet is refused whole"
	}
	_ = json.NewEncoder(stderr).Encode(f)
}
