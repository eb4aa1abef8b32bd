// Package settings reads a daemon's TOML settings, validates them and fills in
// the defaults. It reports all errors of a file together, each with its line.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"sycamorekeel.example/sycamorekeel/internal/finding"
	"sycamorekeel.example/sycamorekeel/internal/httpserver"
	"sycamorekeel.example/sycamorekeel/internal/membudget"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/tomlpb"
)

// Defaults of the settings that may be left out.
const (
	DefaultMaxBodyBytes   = 256 << 10
	DefaultMaxHeaderBytes = 16 << 10
	DefaultMaxConnections = 4096
	// DefaultMaxConnectionsPerIP is below DefaultMaxConnections, so that one
	// caller cannot take all connections.
	DefaultMaxConnectionsPerIP = 1024
	DefaultMaxQueries          = 2048
	DefaultMaxQueue            = 256
	DefaultDrainMS             = 10_000
	DefaultMaxReplyBytes       = 4 << 20
	DefaultEndpointsTTLMS      = 5_000
	DefaultLogLevel            = "info"
)

// Bounds of the settings.
const (
	minSecretLength = 32
	maxBytes        = 64 << 20
	minMemoryMB     = 32
	maxMemoryMB     = 16 << 20
	maxCount        = 1 << 20
	maxDrainMS      = 600_000
	maxTTLMS        = 60_000
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// logLevels lists the valid values of log.level.
var logLevels = []string{"debug", "info", "warn", "error"}

// Load reads and validates the settings file at path. All findings are in the
// error.
func Load(path string) (*pb.Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	s, findings := Parse(path, data)
	return s, trace.Wrap(findings.Err())
}

// Parse decodes and validates settings and fills in the defaults; name is the
// file name in the findings. The settings are valid only if there are no findings.
func Parse(name string, data []byte) (*pb.Settings, finding.List) {
	s := &pb.Settings{}
	src := tomlpb.Decode(name, data, s)
	if len(src.Findings()) > 0 {
		return s, src.Findings()
	}
	checkZeros(src, s.Limits)
	SetDefaults(s)
	check(src, s)
	return s, src.Findings()
}

// SetDefaults sets every optional setting that is missing to its default.
func SetDefaults(s *pb.Settings) {
	if s.Routing == pb.Routing_ROUTING_UNSPECIFIED {
		s.Routing = pb.Routing_OWNER
	}
	if s.Limits == nil {
		s.Limits = &pb.Limits{}
	}
	if s.Log == nil {
		s.Log = &pb.Log{}
	}
	if s.Log.Level == "" {
		s.Log.Level = DefaultLogLevel
	}
	l := s.Limits
	setDefault(&l.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&l.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setDefault(&l.MaxConnections, DefaultMaxConnections)
	setDefault(&l.MaxConnectionsPerIp, DefaultMaxConnectionsPerIP)
	setDefault(&l.MaxQueries, DefaultMaxQueries)
	setDefault(&l.MaxQueue, DefaultMaxQueue)
	setDefault(&l.DrainMs, DefaultDrainMS)
	setDefault(&l.MaxReplyBytes, DefaultMaxReplyBytes)
	setDefault(&l.EndpointsTtlMs, DefaultEndpointsTTLMS)
}

func setDefault(v *uint32, def uint32) {
	if *v == 0 {
		*v = def
	}
}

func check(src *tomlpb.Source, s *pb.Settings) {
	checkName(src, "vm", s.Vm)
	checkName(src, "region", s.Region)
	checkName(src, "data_centre", s.DataCentre)
	if s.Rack != "" {
		checkName(src, "rack", s.Rack)
	}
	checkAdvertised(src, "caller_address", s.CallerAddress)
	checkAddress(src, "operator_address", s.OperatorAddress)
	checkAdvertised(src, "peer_address", s.PeerAddress)
	checkAddress(src, "platform_address", s.PlatformAddress)
	for i, seed := range s.Seeds {
		checkAddress(src, fmt.Sprintf("seeds[%d]", i), seed)
	}
	checkDistinct(src, s)
	if s.OperatorTokenSha256 != "" && !hashPattern.MatchString(s.OperatorTokenSha256) {
		src.Addf("operator_token_sha256", "must be 64 lower-case hex digits")
	}
	checkPeerKeys(src, s.PeerKeys)
	checkLimits(src, s.Limits)
	if !slices.Contains(logLevels, s.Log.Level) {
		src.Addf("log.level", "must be one of %s, not %q", strings.Join(logLevels, ", "), s.Log.Level)
	}
}

// checkZeros rejects a limit that is written as 0. It would silently become the
// default, although the operator probably meant "none" or "unlimited".
func checkZeros(src *tomlpb.Source, l *pb.Limits) {
	m := l.ProtoReflect()
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		field := "limits." + string(fields.Get(i).Name())
		if src.Has(field) && !m.Has(fields.Get(i)) {
			src.Addf(field, "must be at least 1; leave it out for the default")
		}
	}
}

// checkDistinct rejects settings in which two interfaces of the daemon have the
// same address.
func checkDistinct(src *tomlpb.Source, s *pb.Settings) {
	seen := map[string]string{}
	for _, own := range []struct{ field, address string }{
		{"caller_address", s.CallerAddress},
		{"operator_address", s.OperatorAddress},
		{"peer_address", s.PeerAddress},
	} {
		if first, ok := seen[own.address]; ok && own.address != "" {
			src.Addf(own.field, "must differ from %s", first)
		}
		seen[own.address] = own.field
	}
}

func checkName(src *tomlpb.Source, field, name string) {
	if !namePattern.MatchString(name) {
		src.Addf(field, "must be 1 to 63 of a-z, 0-9, '.', '_', '-', starting with a letter or digit, not %q", name)
	}
}

func checkAddress(src *tomlpb.Source, field, text string) {
	if _, err := netip.ParseAddrPort(text); err != nil {
		src.Addf(field, "must be an IP and port, not %q", text)
	}
}

// checkAdvertised checks an address that is advertised to callers or peers. If it
// were valid only for listening, such as 0.0.0.0, probes of this VM would fail
// and its peers would declare it dead.
func checkAdvertised(src *tomlpb.Source, field, text string) {
	address, err := netip.ParseAddrPort(text)
	switch {
	case err != nil:
		checkAddress(src, field, text)
	case address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().IsMulticast():
		src.Addf(field, "must be an address that others can connect to, not %q", text)
	}
}

// checkPeerKeys checks the peer keys. Its findings never contain a secret.
func checkPeerKeys(src *tomlpb.Source, keys []*pb.PeerKey) {
	if len(keys) == 0 {
		src.Addf("peer_keys", "must hold at least one key: peers authenticate with it")
	}
	seen := map[string]bool{}
	for i, k := range keys {
		field := fmt.Sprintf("peer_keys[%d]", i)
		checkName(src, field+".id", k.Id)
		if seen[k.Id] {
			src.Addf(field+".id", "%q is used twice", k.Id)
		}
		seen[k.Id] = true
		if len(k.Secret) < minSecretLength {
			src.Addf(field+".secret", "must have at least %d characters", minSecretLength)
		}
	}
}

func checkLimits(src *tomlpb.Source, l *pb.Limits) {
	checkRange(src, "limits.max_body_bytes", l.MaxBodyBytes, maxBytes)
	checkRange(src, "limits.max_header_bytes", l.MaxHeaderBytes, maxBytes)
	checkRange(src, "limits.max_connections", l.MaxConnections, maxCount)
	checkRange(src, "limits.max_connections_per_ip", l.MaxConnectionsPerIp, maxCount)
	checkRange(src, "limits.max_queries", l.MaxQueries, maxCount)
	checkRange(src, "limits.max_queue", l.MaxQueue, maxCount)
	checkRange(src, "limits.drain_ms", l.DrainMs, maxDrainMS)
	checkRange(src, "limits.endpoints_ttl_ms", l.EndpointsTtlMs, maxTTLMS)
	checkRange(src, "limits.max_reply_bytes", l.MaxReplyBytes, maxBytes)
	checkMemory(src, l)
}

// checkMemory checks the memory, which may be left out, and that one body of the largest size fits.
func checkMemory(src *tomlpb.Source, l *pb.Limits) {
	if l.MemoryMb == 0 {
		return
	}
	if l.MemoryMb < minMemoryMB || l.MemoryMb > maxMemoryMB {
		src.Addf("limits.memory_mb", "must be from %d to %d, not %d", minMemoryMB, maxMemoryMB, l.MemoryMb)
		return
	}
	budget := membudget.Budget{Memory: int64(l.MemoryMb) << 20}
	if most := httpserver.MaxBody(budget.CallerBodies()); int(l.MaxBodyBytes) > most {
		src.Addf("limits.memory_mb", "allows bodies of %d bytes, limits.max_body_bytes is %d", most, l.MaxBodyBytes)
	}
}

func checkRange(src *tomlpb.Source, field string, v, max uint32) {
	if v < 1 || v > max {
		src.Addf(field, "must be from 1 to %d, not %d", max, v)
	}
}
