package settings

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net"
	"net/netip"
	"net/url"
	"os"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/finding"
)

// SessionKeyBytes is the length of the decoded session key, in bytes.
const SessionKeyBytes = 32

// Default returns settings with a value for each field that has a default.
func Default() Settings {
	return Settings{
		Name:     "wigeonusher",
		LogLevel: "info",
		Limits: Limits{
			BodyBytes:      4 << 20,
			HeaderBytes:    32 << 10,
			Connections:    4096,
			QueuedRequests: 1024,
			HeldBills:      100_000,
			Sessions:       100_000,
		},
		Timing: Timing{
			HeartbeatMillis:      1000,
			LoadPollMillis:       1000,
			ListPollMillis:       1000,
			ProgressMillis:       10_000,
			DrainLagMillis:       3000,
			DrainMillis:          60_000,
			BillIntervalMillis:   200,
			IntentIntervalMillis: 10,
		},
	}
}

// Load reads settings from a JSON file and checks them. Fields that the file
// does not set keep their defaults. The error is a [finding.List] if the file
// could be read.
func Load(path string) (Settings, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "settings: read file")
	}
	return Parse(path, body)
}

// Parse decodes settings and checks them. Fields that the input does not set
// keep their defaults. The error is a [finding.List]. A decoding error is
// reported at the input's name and the line; other findings name the setting.
func Parse(name string, body []byte) (Settings, error) {
	settings := Default()
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&settings); err != nil {
		var findings finding.List
		findings.Add(name+":"+lineOf(body, err, decoder), err.Error(), "see docs/CONFIG.md")
		return Settings{}, findings
	}
	findings := settings.Check()
	return settings, findings.Err()
}

// lineOf returns the number of the line at which decoding failed.
func lineOf(body []byte, err error, decoder *json.Decoder) string {
	offset := decoder.InputOffset()
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		offset = syntax.Offset
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		offset = wrongType.Offset
	}
	if _, quoted, ok := strings.Cut(err.Error(), "unknown field "); ok {
		offset = int64(max(0, bytes.Index(body, []byte(quoted))))
	}
	offset = min(offset, int64(len(body)))
	return strconv.Itoa(1 + bytes.Count(body[:offset], []byte("\n")))
}

// Check returns a finding for each setting that is not valid.
func (s Settings) Check() finding.List {
	var findings finding.List
	if s.Name == "" {
		findings.Add("/name", "must not be empty", "")
	}
	if s.Zone == "" {
		findings.Add("/zone", "must not be empty", "name the availability zone the instance runs in")
	}
	checkAddress(&findings, "/caller_address", s.CallerAddress)
	checkAddress(&findings, "/peer_address", s.PeerAddress)
	checkAddress(&findings, "/admin_address", s.AdminAddress)
	for i, seed := range s.Seeds {
		checkAddress(&findings, "/seeds/"+strconv.Itoa(i), seed)
	}
	checkURL(&findings, "/platform/log", s.Platform.Log, true)
	checkURL(&findings, "/platform/instances", s.Platform.Instances, true)
	checkURL(&findings, "/platform/ratings", s.Platform.Ratings, false)
	checkURL(&findings, "/platform/weights", s.Platform.Weights, false)
	if key, err := hex.DecodeString(s.SessionKey); err != nil || len(key) != SessionKeyBytes {
		findings.Add("/session_key", "must be 32 bytes in hex", "use the same key on all instances of the fleet")
	}
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		findings.Add("/log_level", "unknown level "+strconv.Quote(s.LogLevel), "use debug, info, warn or error")
	}
	s.Limits.check(&findings)
	s.Timing.check(&findings)
	checkTLS(&findings, "/caller_tls", s.CallerTLS)
	checkTLS(&findings, "/peer_tls", s.PeerTLS)
	return findings
}

func (l Limits) check(findings *finding.List) {
	checkPositive(findings, "/limits/body_bytes", int(l.BodyBytes))
	checkPositive(findings, "/limits/header_bytes", l.HeaderBytes)
	checkPositive(findings, "/limits/connections", l.Connections)
	checkPositive(findings, "/limits/queued_requests", l.QueuedRequests)
	checkPositive(findings, "/limits/held_bills", l.HeldBills)
	checkPositive(findings, "/limits/sessions", l.Sessions)
}

func (t Timing) check(findings *finding.List) {
	checkPositive(findings, "/timing/heartbeat_ms", t.HeartbeatMillis)
	checkPositive(findings, "/timing/load_poll_ms", t.LoadPollMillis)
	checkPositive(findings, "/timing/list_poll_ms", t.ListPollMillis)
	checkPositive(findings, "/timing/progress_ms", t.ProgressMillis)
	checkPositive(findings, "/timing/drain_ms", t.DrainMillis)
	checkPositive(findings, "/timing/bill_interval_ms", t.BillIntervalMillis)
	checkPositive(findings, "/timing/intent_interval_ms", t.IntentIntervalMillis)
	if t.DrainLagMillis < 0 || t.DrainLagMillis > t.DrainMillis {
		findings.Add("/timing/drain_lag_ms", "must be in [0, drain_ms]", "")
	}
}

func checkPositive(findings *finding.List, place string, value int) {
	if value <= 0 {
		findings.Add(place, "must be above 0", "")
	}
}

func checkAddress(findings *finding.List, place, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		findings.Add(place, "must be an IP number with a port, not "+strconv.Quote(address), "for example 127.0.0.1:8080")
	}
}

func checkURL(findings *finding.List, place, raw string, required bool) {
	if raw == "" {
		if required {
			findings.Add(place, "must not be empty", "for example http://127.0.0.1:7000")
		}
		return
	}
	parsed, err := url.Parse(raw)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || net.ParseIP(parsed.Hostname()) == nil {
		findings.Add(place, "must be an http or https URL with an IP number", "for example http://127.0.0.1:7000")
	}
}

func checkTLS(findings *finding.List, place string, tls *TLS) {
	if tls == nil {
		return
	}
	if tls.CertFile == "" {
		findings.Add(place+"/cert_file", "must not be empty", "")
	}
	if tls.KeyFile == "" {
		findings.Add(place+"/key_file", "must not be empty", "")
	}
}
