// Package fleet holds the VMs, availability zones and backend servers that the
// control group knows, and the directory that entries and agents receive.
//
// Registry is the aggregate with the rules: announcements, draining, loss and
// damping of flaps. Directory is the published view of it; it changes by
// revisions, which only grow.
package fleet
