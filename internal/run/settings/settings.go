// Package settings declares every setting of a node, with its default and its documentation.
//
// Settings are a document of JSON with comments. It is checked whole: every fault is reported with its field
// and line, and a node does not start on a document with a fault. docs/settings.md is generated from the
// declarations here.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"ebonyferry/internal/core/jsontext"
)

// Settings are the settings of one node.
type Settings struct {
	Node      Node      `json:"node" doc:"Who this node is."`
	Listen    Listen    `json:"listen" doc:"Addresses that the node listens on."`
	Advertise Advertise `json:"advertise" doc:"Addresses that others reach the node at, where they differ from those it listens on."`
	Platform  Platform  `json:"platform" doc:"The platform's key-value service."`
	TLS       TLS       `json:"tls" doc:"Certificates. Files are read again when they change."`
	Limits    Limits    `json:"limits" doc:"Bounds on what one caller may ask of the node."`
	Bounds    Bounds    `json:"bounds" doc:"Bounds that the nodes before a platform's backend servers keep together."`
	Timing    Timing    `json:"timing" doc:"Times, as \"1.5s\" or \"200ms\"."`
	Log       Log       `json:"log" doc:"Logging."`
}

// Node says who a node is.
type Node struct {
	Name          string  `json:"name" doc:"Unique name of the VM, of lower-case letters, digits, \"-\" and \".\"." required:"true"`
	Region        string  `json:"region" doc:"Region of the VM." required:"true"`
	FailureDomain string  `json:"failureDomain" doc:"Failure domain of the VM." required:"true"`
	CPUCores      float64 `json:"cpuCores" doc:"Cores that the VM gives the node. Larger VMs get more callers and the duties that others rely on; 0 says that all are alike."`

	Peers []netip.AddrPort `json:"peers" doc:"Addresses of a few other nodes, best of several failure domains. A node that starts while the key-value service is down learns the fleet and the configuration from them; without any it waits."`
}

// Listen holds the addresses to listen on.
type Listen struct {
	Callers   netip.AddrPort `json:"callers" doc:"For callers." required:"true"`
	Nodes     netip.AddrPort `json:"nodes" doc:"For the other nodes." required:"true"`
	Operators netip.AddrPort `json:"operators" doc:"For operators' requests by ferryctl. Not served when absent."`
	Status    netip.AddrPort `json:"status" doc:"For /healthz, /readyz and /metrics. Not served when absent."`
	Entries   netip.AddrPort `json:"entries" doc:"On a platform: for callers who ask where to connect."`
	Ready     netip.AddrPort `json:"ready" doc:"On a platform: for its question whether the node takes callers."`
}

// Advertise holds the addresses that others use.
type Advertise struct {
	Callers netip.AddrPort `json:"callers" doc:"For callers, given out by /v1/entries."`
	Nodes   netip.AddrPort `json:"nodes" doc:"For the other nodes."`
}

// Platform says where the platform's service is.
type Platform struct {
	Addrs    []netip.AddrPort `json:"addrs" doc:"Addresses of the key-value service; another is tried when one does not answer." required:"true"`
	Timeout  Duration         `json:"timeout" doc:"For one call."`
	Protocol string           `json:"speaks" doc:"Protocols of callers, backend servers, store and operators: own, or adapter for those of the adapter that the program was built with."`
}

// Values of Platform.Protocol.
const (
	ProtocolOwn     = "own"
	ProtocolAdapter = "adapter"
)

// TLS holds certificates by listener.
type TLS struct {
	Callers   Certificate `json:"callers" doc:"Served to callers and operators."`
	Nodes     Certificate `json:"nodes" doc:"Served to and shown to other nodes; both sides check it against caFile."`
	PlainText bool        `json:"plainText" doc:"Allows listeners without a certificate on addresses other than loopback."`
}

// Certificate names the files of one certificate.
type Certificate struct {
	CertFile string `json:"certFile" doc:"Certificate chain in PEM."`
	KeyFile  string `json:"keyFile" doc:"Private key in PEM."`
	CAFile   string `json:"caFile" doc:"Certificates in PEM that the other side's is checked against."`
}

// IsSet reports whether a certificate or a key is named.
func (c Certificate) IsSet() bool { return c.CertFile != "" || c.KeyFile != "" }

// Limits bounds callers.
type Limits struct {
	MaxBodyBytes  int `json:"maxBodyBytes" doc:"Largest request body."`
	MaxConcurrent int `json:"maxConcurrent" doc:"Requests in hand at one time; more are refused as not run."`
	MaxAttempts   int `json:"maxAttempts" doc:"Servers that one request is tried on, the first included."`
}

// Bounds holds what the nodes before a platform's backend servers keep together.
type Bounds struct {
	RetryRatio  float64  `json:"retryRatio" doc:"Repeats in a window to requests in it, of all nodes."`
	RetrySlack  float64  `json:"retrySlack" doc:"Repeats in a window beside the ratio, of all nodes."`
	RetryWindow Duration `json:"retryWindow" doc:"Window of the repeats."`
	ColdRatio   float64  `json:"coldOver" doc:"A cold backend server gets at most that many times its rate."`
	ColdSlack   float64  `json:"coldSlack" doc:"Requests a second beside that."`
	StopGrace   Duration `json:"stopGrace" doc:"From SIGTERM until the process is killed."`
	EntryTTL    Duration `json:"entryTtl" doc:"How long callers keep an answer of the directory."`
}

// Timing holds times.
type Timing struct {
	FirstTokenTarget Duration `json:"firstTokenTarget" doc:"Deadline for the first token of a request that names none."`
	BodyTimeout      Duration `json:"bodyTimeout" doc:"For a request body to arrive whole."`
	WriteTimeout     Duration `json:"writeTimeout" doc:"For one write to a slow reader."`
	StallTimeout     Duration `json:"stallTimeout" doc:"Silence on an engine's stream after which it is taken up again."`
	ResumeGrace      Duration `json:"resumeGrace" doc:"How long a generation whose caller left runs on."`
}

// Log says how to log.
type Log struct {
	Level  string `json:"level" doc:"debug, info, warn or error."`
	Format string `json:"format" doc:"json or text."`
}

// Duration is a time.Duration written as text, such as "1.5s".
type Duration struct{ time.Duration }

// UnmarshalText reads the form of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration %q is not of the form \"1.5s\"", text)
	}
	d.Duration = v
	return nil
}

// MarshalText writes the form that UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// Default returns the settings of an empty jsontext.
func Default() Settings {
	return Settings{
		Platform: Platform{Timeout: Duration{2 * time.Second}, Protocol: ProtocolOwn},
		Limits:   Limits{MaxBodyBytes: 4 << 20, MaxConcurrent: 4096, MaxAttempts: 3},
		Bounds: Bounds{
			RetryRatio: 0.1, RetrySlack: 10, RetryWindow: Duration{10 * time.Second}, ColdRatio: 1,
			StopGrace: Duration{8 * time.Second}, EntryTTL: Duration{2 * time.Second},
		},
		Timing: Timing{
			FirstTokenTarget: Duration{1900 * time.Millisecond},
			BodyTimeout:      Duration{20 * time.Second},
			WriteTimeout:     Duration{20 * time.Second},
			StallTimeout:     Duration{10 * time.Second},
			ResumeGrace:      Duration{10 * time.Second},
		},
		Log: Log{Level: "info", Format: "json"},
	}
}

// Read reads and checks the settings in the named file. The error lists every fault with its field and line.
func Read(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	s, err := Parse(data)
	if err != nil {
		return Settings{}, fmt.Errorf("settings file %s:\n%w", path, err)
	}
	return s, nil
}

// Parse reads and checks settings. The error is a jsontext.Problems.
func Parse(data []byte) (Settings, error) {
	s := Default()
	doc, err := jsontext.Decode(data, &s)
	if err != nil {
		return Settings{}, err
	}
	if err := doc.Locate(validate(s)); err != nil {
		return Settings{}, err
	}
	return s.withAddresses(), nil
}

// Fills in the advertised addresses that are not given.
func (s Settings) withAddresses() Settings {
	if !s.Advertise.Callers.IsValid() {
		s.Advertise.Callers = s.Listen.Callers
	}
	if !s.Advertise.Nodes.IsValid() {
		s.Advertise.Nodes = s.Listen.Nodes
	}
	return s
}
