// Package telemetry sets up the logs of a process and names its metrics.
package telemetry

import (
	"flag"
	"io"
	"log/slog"
	"strconv"

	"k8s.io/klog/v2"

	"amaranthpaddle/fault"
)

// lowestLevel lets every klog verbosity pass the handler; klog itself decides.
const lowestLevel = slog.Level(-128)

// SetupLogs makes klog write JSON lines to w. Each line carries the process's
// role and name. level is klog's verbosity: 0 for ordinary messages, higher for more.
func SetupLogs(w io.Writer, role, name string, level int) error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	if err := flags.Set("v", strconv.Itoa(level)); err != nil {
		return fault.Wrap(fault.InvalidArgument, err, "log level")
	}
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: lowestLevel, ReplaceAttr: replaceAttribute})
	logger := slog.New(handler).With("role", role, "process", name)
	klog.SetSlogLogger(logger)
	// The standard library's servers write to package log, which this redirects.
	slog.SetDefault(logger)
	return nil
}

// replaceAttribute writes times in UTC and errors as their message.
func replaceAttribute(groups []string, a slog.Attr) slog.Attr {
	if len(groups) == 0 && a.Key == slog.TimeKey && a.Value.Kind() == slog.KindTime {
		return slog.Time(a.Key, a.Value.Time().UTC())
	}
	if err, isError := a.Value.Any().(error); isError {
		return slog.String(a.Key, err.Error())
	}
	return a
}
