// Command paddle-entry takes callers' HTTP requests and passes them to backend servers.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"k8s.io/klog/v2"

	"amaranthpaddle/entry"
	"amaranthpaddle/fault"
)

// stopLimit bounds a planned stop; callers' deadlines end earlier.
const stopLimit = 16 * time.Minute

func main() {
	settings := "/etc/paddle/entry.ini"
	flaggy.SetName("paddle-entry")
	flaggy.SetDescription("Takes callers' HTTP requests and passes them to backend servers.")
	flaggy.String(&settings, "s", "settings", "path of the INI file")
	flaggy.Parse()
	klog.SetSlogLogger(slog.New(slog.NewJSONHandler(os.Stderr, nil)))
	if err := run(settings); err != nil {
		klog.ErrorS(err, "The entry failed")
		klog.Flush()
		os.Exit(fault.KindOf(err).Answer().Exit)
	}
}

func run(settings string) error {
	config, err := loadSettings(settings)
	if err != nil {
		return err
	}
	e, err := entry.New(config)
	if err != nil {
		return err
	}
	if err := e.Start(); err != nil {
		return err
	}
	klog.InfoS("The entry serves callers", "address", e.Address().String(), "zone", config.Zone)
	signals, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	<-signals.Done()
	klog.InfoS("The entry stops")
	ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	return e.Stop(ctx)
}
