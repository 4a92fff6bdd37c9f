package session

import (
	"amaranthpaddle/fault"
	"amaranthpaddle/telemetry"
)

// observeStart counts a start by its result: "started" or the kind of its error.
func observeStart(err error) {
	result := "started"
	if err != nil {
		result = fault.KindOf(err).String()
	}
	telemetry.TaskStarts.Add(1, result)
}
