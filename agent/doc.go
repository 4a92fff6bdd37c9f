// Package agent is the process beside each worker: it takes the announcements
// of the VM's backend servers, delivers callers' requests to them (package
// delivery) and drives the VM's tasks under its lease (package session).
//
// Its local interface is HTTP on a loopback address:
//
//	POST   /v1/backends       worker.Announcement; renew at least once a second
//	DELETE /v1/backends/{id}  the backend server is leaving and takes no new work
//	GET    /healthz           the process runs
//	GET    /readyz            the agent takes new work
//	GET    /metrics           metrics in the Prometheus text format
package agent
