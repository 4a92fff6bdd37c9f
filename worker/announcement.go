package worker

// Announcement is what a backend server posts to the agent of its VM, again and
// again while it serves. Slots and Connections are numbers of requests and of
// connections that it takes at a time.
type Announcement struct {
	ID          string `json:"id"` // unique in the fleet
	Service     string `json:"service"`
	URL         string `json:"url"` // base URL, such as http://127.0.0.1:8080
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
}
