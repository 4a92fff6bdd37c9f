package main

import (
	"time"

	"gopkg.in/ini.v1"

	"amaranthpaddle/entry"
	"amaranthpaddle/fault"
	"amaranthpaddle/transport"
)

// bitsPerByte converts the link's rate.
const bitsPerByte = 8

// loadSettings reads the INI file of an entry.
func loadSettings(path string) (entry.Config, error) {
	file, err := ini.Load(path)
	if err != nil {
		return entry.Config{}, fault.Wrap(fault.InvalidArgument, err, "settings")
	}
	own := file.Section("entry")
	link := file.Section("link")
	config := entry.Config{
		Name:        own.Key("name").String(),
		Listen:      own.Key("listen").String(),
		Zone:        own.Key("zone").String(),
		Region:      own.Key("region").String(),
		Control:     file.Section("control").Key("addresses").Strings(","),
		Security:    &transport.Security{Insecure: file.Section("security").Key("insecure").MustBool(false)},
		MaxRequests: own.Key("max_requests").MustInt(0),
		MaxBody:     own.Key("max_body_bytes").MustInt64(0),
		BlobDir:     own.Key("body_folder").String(),
		BlobBytes:   own.Key("body_bytes").MustInt64(0),
		DrainNotice: own.Key("drain_notice").MustDuration(0),
		Links:       link.Key("connections").MustInt(0),
		LinkRate:    link.Key("rate_bits").MustInt64(0) / bitsPerByte,
	}
	config.QueueTime = time.Duration(own.Key("queue_ms").MustInt64(0)) * time.Millisecond
	return config, checkSettings(&config)
}

func checkSettings(config *entry.Config) error {
	switch {
	case config.Name == "":
		return fault.New(fault.InvalidArgument, "settings: [entry] name is missing")
	case config.Listen == "":
		return fault.New(fault.InvalidArgument, "settings: [entry] listen is missing")
	case config.Region == "" || config.Zone == "":
		return fault.New(fault.InvalidArgument, "settings: [entry] region and zone must be set")
	case len(config.Control) == 0:
		return fault.New(fault.InvalidArgument, "settings: [control] addresses is missing")
	}
	return nil
}
