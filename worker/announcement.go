package worker

// Announcement is the registration that a backend server posts periodically to
// the agent of its VM while it serves. Slots and Connections are the maximum
// numbers of concurrent requests and of concurrent connections.
type Announcement struct {
	ID          string `json:"id"` // unique across all VMs
	Service     string `json:"service"`
	URL         string `json:"url"` // base URL, such as http://127.0.0.1:8080
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
}
