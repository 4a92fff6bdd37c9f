package daemon

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"k8s.io/klog/v2"

	"amaranthpaddle/fault"
	"amaranthpaddle/settings"
)

func entryProgram(run func(context.Context, *settings.Entry, <-chan *settings.Entry) error) Program[settings.Entry] {
	return Program[settings.Entry]{
		Name:    "paddle-entry",
		Load:    settings.LoadEntry,
		Process: func(s *settings.Entry) (string, int) { return s.Name, s.LogLevel },
		Run:     run,
	}
}

func TestProgramExitCodes(t *testing.T) {
	t.Cleanup(klog.ClearLogger)
	sample := "../examples/entry.ini"
	failing := func(context.Context, *settings.Entry, <-chan *settings.Entry) error {
		return fault.New(fault.StorageFailed, "disk full")
	}
	fine := func(context.Context, *settings.Entry, <-chan *settings.Entry) error { return nil }
	cases := []struct {
		name string
		args []string
		run  func(context.Context, *settings.Entry, <-chan *settings.Entry) error
		code int
		want string
	}{
		{"settings are checked and nothing runs", []string{"--settings", sample, "--check-settings"}, failing, fault.ExitOK, "settings are valid"},
		{"settings of another daemon", []string{"--settings", "../examples/agent.ini", "--check-settings"}, fine, fault.ExitInvalid, "[listen] callers: is missing"},
		{"no such file", []string{"--settings", "missing.ini"}, fine, fault.ExitInvalid, "missing.ini"},
		{"no settings", nil, fine, fault.ExitInvalid, "--settings is missing"},
		{"a planned stop", []string{"--settings", sample}, fine, fault.ExitOK, `"msg":"Process stopped"`},
		{"a failure", []string{"--settings", sample}, failing, fault.ExitFailure, `"kind":"storage-failed"`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			code := entryProgram(c.run).run(context.Background(), c.args, &out, &out)
			if code != c.code || !strings.Contains(out.String(), c.want) {
				t.Errorf("exit %d, output %q", code, out.String())
			}
		})
	}
}
