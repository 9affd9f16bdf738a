package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/wigeonusher/wigeonusher/coord/finding"
	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Settings are the static settings of one entry instance, read from a JSON
// file at the start and again at each reload. Addresses are IP addresses with a
// port.
type Settings struct {
	// Name identifies the instance in logs and to its peers.
	Name string        `json:"name"`
	Zone platform.Zone `json:"zone"`
	// ClientAddress serves clients; HealthAddress serves readiness, metrics
	// and status.
	ClientAddress string `json:"client_address"`
	HealthAddress string `json:"health_address"`
	// PeerAddress serves the other instances; Seeds are the peer addresses of
	// some of them.
	PeerAddress string   `json:"peer_address"`
	Seeds       []string `json:"seeds"`
	// StoreAddress is the address of the platform's store.
	StoreAddress string          `json:"store_address"`
	Limits       ProcessLimits   `json:"limits"`
	Bounds       Bounds          `json:"bounds"`
	Routing      RoutingSettings `json:"routing"`
	// Contracts lists the terms of the platform that are in force. [Platform.Features]
	// translates them; unknown ones are ignored.
	Contracts []string `json:"contracts"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log_level"`
}

// ProcessLimits are the resource limits of the process.
type ProcessLimits struct {
	MemoryMB    float64 `json:"memory_mb"`
	Descriptors int     `json:"descriptors"`
	Processors  int     `json:"processors"`
}

// Bounds are the guarantees that the fleet must keep. Names of durations end in
// the unit.
type Bounds struct {
	// EndpointDrainMillis is the time after which a leaving endpoint must get no
	// further requests.
	EndpointDrainMillis float64 `json:"endpoint_drain_ms"`
	// StopGraceMillis is the time from the stop signal to the kill.
	StopGraceMillis float64 `json:"stop_grace_ms"`
	// BalancerLagMillis is how long a stopping instance keeps serving until the
	// load balancer has removed it: the balancer checks readiness every second
	// and acts on the second failure.
	BalancerLagMillis float64 `json:"balancer_lag_ms"`
	// RevocationMillis is the time after which no request with a revoked key may
	// run. StrictRevocation enforces it on instances that have lost contact with
	// the store too.
	RevocationMillis float64 `json:"revocation_ms"`
	StrictRevocation bool    `json:"strict_revocation"`
	// In a window of RetryWindowMillis, a service receives at most RetryRatio *
	// requests + RetrySlack retries. Each arrival of a request beyond its first
	// is a retry.
	RetryRatio        float64 `json:"retry_ratio"`
	RetrySlack        float64 `json:"retry_slack"`
	RetryWindowMillis float64 `json:"retry_window_ms"`
	// ExposureShare bounds the share of requests that a bad version receives.
	ExposureShare float64 `json:"exposure_share"`
	// ExposureSlack is the number of requests that it may receive beyond the share, from all
	// instances together.
	ExposureSlack float64 `json:"exposure_slack"`
	// SessionGapMillis is the longest pause between requests of one session.
	SessionGapMillis float64 `json:"session_gap_ms"`
}

// RoutingSettings tune the request path.
type RoutingSettings struct {
	// AcceptConfidence holds the lowest confidence, in [0, 1], at which an answer
	// is returned without asking a larger model, indexed by the priority rank of
	// the request; rank 0 is the most urgent. The last value applies to all
	// further ranks.
	AcceptConfidence []float64 `json:"accept_confidence"`
	// DialMillis bounds the time to connect to an endpoint.
	DialMillis int `json:"dial_ms"`
	// ZoneMillisPerKB is the price of traffic between zones: the expected time that a request must gain,
	// for each thousand bytes that it and its answer move, to run in another zone.
	ZoneMillisPerKB float64 `json:"zone_ms_per_kb"`
}

func (r RoutingSettings) zonePrice() time.Duration {
	return millis(min(r.ZoneMillisPerKB, maxZoneMillisPerKB))
}

// maxZoneMillisPerKB is a price that no request gains.
const maxZoneMillisPerKB = 1e6

// defaultZoneMillisPerKB follows from reading long prompts: at a greater price, each zone reads shared
// parts of some thousand tokens itself, which costs endpoints more than their traffic between zones does.
// Questions and tags, of 3 to 5 KB and short shared parts, stay in their zone for 10 to 15 ms.
const defaultZoneMillisPerKB = 3

// DefaultSettings returns settings with every default set.
func DefaultSettings() Settings {
	return Settings{
		Name:     "wigeonusher",
		LogLevel: "info",
		Limits:   ProcessLimits{MemoryMB: 256, Descriptors: 4096, Processors: 1},
		Bounds: Bounds{
			EndpointDrainMillis: 2000,
			StopGraceMillis:     8000,
			BalancerLagMillis:   2600,
			RevocationMillis:    5000,
			RetryRatio:          0.1,
			RetrySlack:          10,
			RetryWindowMillis:   10_000,
			ExposureShare:       0.1,
			SessionGapMillis:    5000,
		},
		Routing: RoutingSettings{AcceptConfidence: []float64{0.55, 0.5, 0.4}, DialMillis: 150, ZoneMillisPerKB: defaultZoneMillisPerKB},
	}
}

// LoadSettings reads settings from a JSON file over the defaults and validates
// them. If the file could be read, the error is a [finding.List].
func LoadSettings(path string) (Settings, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "entry: read settings")
	}
	return ParseSettings(path, body)
}

// ParseSettings decodes settings over the defaults. It reports all unknown names
// and wrong types together or, if there are none, all values out of range.
func ParseSettings(name string, body []byte) (Settings, error) {
	settings := DefaultSettings()
	var findings finding.List
	decodeObject(name, "", body, reflect.ValueOf(&settings).Elem(), &findings)
	if len(findings) == 0 {
		settings.check(&findings)
	}
	findings.Sort()
	return settings, findings.Err()
}

// decodeObject decodes each field separately, so that a type error in one field
// doesn't hide the errors in others.
func decodeObject(name, path string, body []byte, target reflect.Value, findings *finding.List) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		findings.Add(name+path, err.Error(), "see docs/CONFIG.md")
		return
	}
	known := make(map[string]reflect.Value)
	for i := range target.NumField() {
		known[target.Type().Field(i).Tag.Get("json")] = target.Field(i)
	}
	for key, raw := range fields {
		field, ok := known[key]
		fieldPath := path + "/" + key
		switch {
		case !ok:
			findings.Add(name+fieldPath, "no such setting", "see docs/CONFIG.md")
		case field.Kind() == reflect.Struct:
			decodeObject(name, fieldPath, raw, field, findings)
		default:
			decodeField(name+fieldPath, raw, field, findings)
		}
	}
}

func decodeField(path string, raw json.RawMessage, field reflect.Value, findings *finding.List) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	if err := decoder.Decode(field.Addr().Interface()); err != nil {
		findings.Add(path, err.Error(), "want "+field.Kind().String())
	}
}

func (s *Settings) check(findings *finding.List) {
	for path, address := range map[string]string{
		"/client_address": s.ClientAddress,
		"/health_address": s.HealthAddress,
		"/store_address":  s.StoreAddress,
		"/peer_address":   s.PeerAddress,
	} {
		if _, err := netip.ParseAddrPort(address); err != nil {
			findings.Add(path, "not an IP number with a port: "+strconv.Quote(address), "for example 10.1.0.40:8227")
		}
	}
	if strings.TrimSpace(s.Name) == "" {
		findings.Add("/name", "empty", "")
	}
	if s.Zone == "" {
		findings.Add("/zone", "empty", "")
	}
	if _, err := logrus.ParseLevel(s.LogLevel); err != nil {
		findings.Add("/log_level", err.Error(), "debug, info, warn or error")
	}
	s.checkRanges(findings)
}

func (s *Settings) checkRanges(findings *finding.List) {
	for path, value := range map[string]float64{
		"/limits/memory_mb":         s.Limits.MemoryMB,
		"/limits/descriptors":       float64(s.Limits.Descriptors),
		"/limits/processors":        float64(s.Limits.Processors),
		"/bounds/endpoint_drain_ms": s.Bounds.EndpointDrainMillis,
		"/bounds/stop_grace_ms":     s.Bounds.StopGraceMillis,
		"/bounds/balancer_lag_ms":   s.Bounds.BalancerLagMillis,
		"/bounds/revocation_ms":     s.Bounds.RevocationMillis,
		"/bounds/retry_window_ms":   s.Bounds.RetryWindowMillis,
		"/bounds/session_gap_ms":    s.Bounds.SessionGapMillis,
		"/routing/dial_ms":          float64(s.Routing.DialMillis),
	} {
		if value <= 0 {
			findings.Add(path, fmt.Sprintf("%v is not above 0", value), "")
		}
	}
	shares := map[string]float64{
		"/bounds/retry_ratio":    s.Bounds.RetryRatio,
		"/bounds/exposure_share": s.Bounds.ExposureShare,
	}
	for rank, value := range s.Routing.AcceptConfidence {
		shares["/routing/accept_confidence/"+strconv.Itoa(rank)] = value
	}
	for path, value := range shares {
		if value < 0 || value > 1 {
			findings.Add(path, fmt.Sprintf("%v is not in [0, 1]", value), "")
		}
	}
	for path, value := range map[string]float64{
		"/bounds/retry_slack": s.Bounds.RetrySlack, "/bounds/exposure_slack": s.Bounds.ExposureSlack,
		"/routing/zone_ms_per_kb": s.Routing.ZoneMillisPerKB,
	} {
		if value < 0 {
			findings.Add(path, "below 0", "")
		}
	}
}
