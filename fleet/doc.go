// Package fleet holds the VMs, availability zones and backend servers that the
// control group knows, and the directory that it publishes to entries and agents.
//
// Registry tracks the VMs and enforces the rules for announcements, draining,
// loss and flap damping. Directory is the published configuration; its revision
// only increases.
package fleet
