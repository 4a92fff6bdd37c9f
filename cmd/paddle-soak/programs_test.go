package main

import (
	"os"
	"sync"
	"testing"
	"time"
)

// programsFolder holds the programs that buildOnce has built for all tests of the package.
var programsFolder string

var buildOnce = sync.OnceValue(func() (err error) {
	if programsFolder, err = os.MkdirTemp("", "paddle-soak-bin-"); err == nil {
		err = build(programsFolder)
	}
	return err
})

// programs returns the folder of the built programs.
func programs() (string, error) {
	err := buildOnce()
	return programsFolder, err
}

func TestMain(m *testing.M) {
	code := m.Run()
	os.RemoveAll(programsFolder) // empty if no test has used it
	os.Exit(code)
}

// playSeed runs one seed with these programs and returns its violations.
func playSeed(seed uint64, disturbed time.Duration, faults, load, folder string) ([]string, error) {
	built, err := programs()
	if err != nil {
		return nil, err
	}
	return soak(seed, disturbed, faults, load, folder, built)
}
