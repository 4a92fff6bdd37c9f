// Package agent implements the process that runs beside each worker: it receives
// the announcements of the VM's backend servers, delivers callers' requests to
// them (package delivery) and controls the VM's tasks under its lease (package
// session).
//
// Its local interface is HTTP on a loopback address:
//
//	POST   /v1/backends       worker.Announcement; to be renewed at least once a second
//	DELETE /v1/backends/{id}  marks the backend server as leaving: it gets no new work
//	GET    /healthz           200 while the process runs
//	GET    /readyz            200 until the agent is leaving
//	GET    /metrics           metrics in the Prometheus text format
package agent
