// Package settings holds the static settings of one instance: its addresses, its
// zone, the URLs of the platform's services, and its limits. They are read once
// from a JSON file. Settings that the whole fleet shares are in the configuration
// document instead.
package settings

import (
	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Settings are the static settings of one instance. Addresses are IP addresses
// with a port; durations are in milliseconds.
type Settings struct {
	// Name is the prefix of the instance's ID. Each start appends a random suffix.
	Name string        `json:"name"`
	Zone platform.Zone `json:"zone"`
	// CallerAddress serves callers, PeerAddress the other instances, and
	// AdminAddress health, metrics and status.
	CallerAddress string `json:"caller_address"`
	PeerAddress   string `json:"peer_address"`
	AdminAddress  string `json:"admin_address"`
	// Seeds are the peer addresses to contact while no peer is known.
	Seeds    []string         `json:"seeds,omitempty"`
	Platform PlatformSettings `json:"platform"`
	Limits   Limits           `json:"limits"`
	Timing   Timing           `json:"timing"`
	// SessionKey is the hex key, of 32 bytes, that signs session tokens. All
	// instances of a fleet share it.
	SessionKey string `json:"session_key"`
	// LogLevel is debug, info, warn or error.
	LogLevel  string `json:"log_level"`
	CallerTLS *TLS   `json:"caller_tls,omitempty"`
	PeerTLS   *TLS   `json:"peer_tls,omitempty"`
}

// PlatformSettings are the base URLs of the platform's services.
type PlatformSettings struct {
	Log       string `json:"log"`
	Instances string `json:"instances"`
	Ratings   string `json:"ratings,omitempty"`
	Weights   string `json:"weights,omitempty"`
}

// Limits bound what an instance accepts and holds.
type Limits struct {
	BodyBytes   int64 `json:"body_bytes"`
	HeaderBytes int   `json:"header_bytes"`
	Connections int   `json:"connections"`
	// QueuedRequests is the maximum length of each pool's admission queue.
	QueuedRequests int `json:"queued_requests"`
	// HeldBills bounds the bills that are not yet in the log and, separately,
	// the backup copies of peers' bills.
	HeldBills int `json:"held_bills"`
	Sessions  int `json:"sessions"`
}

// Timing holds the instance's intervals and deadlines, in milliseconds.
type Timing struct {
	// HeartbeatMillis is the interval of digests between peers.
	HeartbeatMillis int `json:"heartbeat_ms"`
	// LoadPollMillis is the interval of load reports from endpoints.
	LoadPollMillis int `json:"load_poll_ms"`
	// ListPollMillis is the interval of reads of the instance list.
	ListPollMillis int `json:"list_poll_ms"`
	// ProgressMillis is the longest silence of an attempt before its
	// connection is discarded.
	ProgressMillis int `json:"progress_ms"`
	// DrainLagMillis is how long a stopping instance still accepts requests, so
	// that the load balancer can stop sending them.
	DrainLagMillis int `json:"drain_lag_ms"`
	// DrainMillis bounds a graceful shutdown, including DrainLagMillis. Reporting
	// the shutdown to the peers and the instance list may take 1 s more.
	DrainMillis int `json:"drain_ms"`
	// BillIntervalMillis is the least time between two appends of bills.
	BillIntervalMillis int `json:"bill_interval_ms"`
	// IntentIntervalMillis is the least time between two appends of intents.
	IntentIntervalMillis int `json:"intent_interval_ms"`
}

// TLS names the certificate and key files of a listener. CertFile and KeyFile are
// read again when they change.
type TLS struct {
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	// CAFile holds the CA certificates. If set, the listener requires client
	// certificates signed by one of them. In peer_tls, they also verify the
	// certificates of peers.
	CAFile string `json:"ca_file,omitempty"`
}
