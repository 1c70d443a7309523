// Package settings declares every setting of a node, with its default and its documentation.
//
// A settings file is JSON with comments. Read and Parse check the whole document: the error reports every problem with
// its field and line, and a node does not start with an invalid document. docs/settings.md is generated from the
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
	Node      Node      `json:"node" doc:"Identity of the node."`
	Listen    Listen    `json:"listen" doc:"Addresses that the node listens on."`
	Advertise Advertise `json:"advertise" doc:"Addresses under which others reach the node, if they differ from those it listens on."`
	Platform  Platform  `json:"platform" doc:"The platform's key-value service."`
	TLS       TLS       `json:"tls" doc:"Certificates. The node reloads the files when they change."`
	Limits    Limits    `json:"limits" doc:"Limits on requests of callers and on memory and descriptors."`
	Bounds    Bounds    `json:"bounds" doc:"Bounds that all nodes in front of a platform's backend servers jointly keep."`
	Duties    Duties    `json:"duties" doc:"Calls to the platform that are the duty of one node at a time."`
	Sharing   Sharing   `json:"sharing" doc:"Who gets the memory of engines when it is scarce, on a platform."`
	Timing    Timing    `json:"timing" doc:"Durations, such as \"1.5s\" or \"200ms\"."`
	Log       Log       `json:"log" doc:"Logging."`
}

// Node identifies a node.
type Node struct {
	Name          string  `json:"name" doc:"Unique name of the VM, of lower-case letters, digits, \"-\" and \".\"." required:"true"`
	Region        string  `json:"region" doc:"Region of the VM." required:"true"`
	FailureDomain string  `json:"failureDomain" doc:"Failure domain of the VM." required:"true"`
	CPUCores      float64 `json:"cpuCores" doc:"CPU cores that the VM gives the node. Larger VMs get more callers and the duties that other nodes rely on; 0 means that all VMs are alike."`

	Peers []netip.AddrPort `json:"peers" doc:"Addresses of a few other nodes, ideally in several failure domains. A node that starts while the key-value service is down gets the fleet and the configuration from them; without peers it waits for the service."`
}

// Listen holds the addresses to listen on.
type Listen struct {
	Callers   netip.AddrPort `json:"callers" doc:"Address for callers." required:"true"`
	Nodes     netip.AddrPort `json:"nodes" doc:"Address for the other nodes." required:"true"`
	Operators netip.AddrPort `json:"operators" doc:"Address for operators' requests by ferryctl. Not served if absent."`
	Status    netip.AddrPort `json:"status" doc:"Address for /healthz, /readyz and /metrics. Not served if absent."`
	Entries   netip.AddrPort `json:"entries" doc:"On a platform: address for callers that ask where to connect."`
	Ready     netip.AddrPort `json:"ready" doc:"On a platform: address at which the platform asks whether the node accepts callers."`
}

// Advertise holds the addresses under which others reach the node.
type Advertise struct {
	Callers netip.AddrPort `json:"callers" doc:"Address for callers, as listed by /v1/entries. The default is listen.callers."`
	Nodes   netip.AddrPort `json:"nodes" doc:"Address for the other nodes. The default is listen.nodes."`
}

// Platform configures the access to the platform's key-value service, and the protocols.
type Platform struct {
	Addrs    []netip.AddrPort `json:"addrs" doc:"Addresses of the key-value service. If one does not answer, the node tries another." required:"true"`
	Timeout  Duration         `json:"timeout" doc:"Timeout of one call."`
	Protocol string           `json:"speaks" doc:"Protocols of callers, backend servers, store and operators: own, or adapter for those of the adapter that the program was built with."`
}

// Values of Platform.Protocol.
const (
	ProtocolOwn     = "own"
	ProtocolAdapter = "adapter"
)

// TLS holds the certificates by listener.
type TLS struct {
	Callers   Certificate `json:"callers" doc:"Certificate that the node presents to callers and operators."`
	Nodes     Certificate `json:"nodes" doc:"Certificate that the node presents to other nodes, as a server and as a client; both sides check it against caFile."`
	PlainText bool        `json:"plainText" doc:"Allows listeners without a certificate on addresses other than loopback."`
}

// Certificate names the files of one certificate.
type Certificate struct {
	CertFile string `json:"certFile" doc:"Certificate chain in PEM."`
	KeyFile  string `json:"keyFile" doc:"Private key in PEM."`
	CAFile   string `json:"caFile" doc:"CA certificates in PEM against which the peer's certificate is checked."`
}

// IsSet reports whether a certificate or a key is named.
func (c Certificate) IsSet() bool { return c.CertFile != "" || c.KeyFile != "" }

// Limits holds limits on requests of callers, and on what all clients of the node take together.
type Limits struct {
	MemoryMB float64 `json:"memoryMB" doc:"Memory of the VM in MiB, of which a fixed part is for what clients send. 0 means what the kernel reports for the machine or the control group."`
	MaxFiles int     `json:"maxFiles" doc:"Maximum number of open descriptors, of which a fixed part is for connections of clients. 0 means the limit of the process."`

	MaxBodyBytes  int `json:"maxBodyBytes" doc:"Maximum size of a request body in bytes."`
	MaxConcurrent int `json:"maxConcurrent" doc:"Maximum number of requests in flight; further requests are refused as not run."`
	MaxAttempts   int `json:"maxAttempts" doc:"Number of servers on which one request is tried, including the first."`
}

// Bounds holds the bounds that all nodes in front of a platform's backend servers jointly keep.
type Bounds struct {
	RetryRatio  float64  `json:"retryRatio" doc:"Retries per request in a window, over all nodes."`
	RetrySlack  float64  `json:"retrySlack" doc:"Retries in a window beyond the ratio, over all nodes."`
	RetryWindow Duration `json:"retryWindow" doc:"Window in which retries are counted."`
	ColdRatio   float64  `json:"coldOver" doc:"A cold backend server gets at most this multiple of the rate that its service gives for cold servers."`
	ColdSlack   float64  `json:"coldSlack" doc:"Requests per second to a cold backend server beyond coldOver."`
	SettleTime  Duration `json:"settleTime" doc:"How long after a fault the platform gives the system to adapt. Nodes hold their registration for two seconds longer."`
	StopGrace   Duration `json:"stopGrace" doc:"Time from SIGTERM until the process is killed."`
	EntryTTL    Duration `json:"entryTtl" doc:"How long callers cache an answer about where to connect."`
}

// Duties configures the calls to the platform that are the duty of one node at a time. Without an address there are none.
type Duties struct {
	Addr            netip.AddrPort `json:"addr" doc:"Address of the platform's service that takes the calls. Without it the node has no duties."`
	Held            []string       `json:"held" doc:"The duties: usage reports how many requests of each client account began to run, scaling orders numbers of backend servers."`
	CallsPerSecond  float64        `json:"callsPerSecond" doc:"Calls per second that the service takes from all nodes together."`
	LeaseTTL        Duration       `json:"leaseTtl" doc:"How long a node holds a duty without a confirmation of the key-value service, and how long a new holder waits before it acts."`
	ReportWindow    Duration       `json:"reportWindow" doc:"Length of the windows in which usage is reported."`
	ReportDue       Duration       `json:"reportDue" doc:"How long after the end of its window a report is due."`
	ReportTolerance float64        `json:"reportTolerance" doc:"How far a reported count may be from the true one, as a share of it. A report from which more seems to be missing waits for the counts, and is dropped after a minute."`
}

// IsSet reports whether there are duties.
func (d Duties) IsSet() bool { return d.Addr.IsValid() }

// Values of Duties.Held.
const (
	DutyUsage   = "usage"
	DutyScaling = "scaling"
)

// Sharing configures how competing requests share the memory of engines.
type Sharing struct {
	Enabled bool `json:"enabled" doc:"Nodes exchange their demand and share scarce memory by urgency and by the weights of client accounts. Otherwise each node orders its waiting requests by urgency and arrival alone."`
}

// Timing holds deadlines and timeouts.
type Timing struct {
	FirstTokenTarget Duration `json:"firstTokenTarget" doc:"Deadline for the first token of a request that sets none."`
	BodyTimeout      Duration `json:"bodyTimeout" doc:"Timeout for receiving a complete request body."`
	WriteTimeout     Duration `json:"writeTimeout" doc:"Timeout for one write to a slow reader."`
	StallTimeout     Duration `json:"stallTimeout" doc:"Silence on an engine's stream after which the node resumes the stream."`
	ResumeGrace      Duration `json:"resumeGrace" doc:"How long a generation continues after its caller has left."`
}

// Log configures logging.
type Log struct {
	Level  string `json:"level" doc:"Lowest level to log: debug, info, warn or error."`
	Format string `json:"format" doc:"Format of log lines: json or text."`
}

// Duration is a time.Duration that is encoded as text, such as "1.5s".
type Duration struct{ time.Duration }

// UnmarshalText decodes the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration %q is not of the form \"1.5s\"", text)
	}
	d.Duration = v
	return nil
}

// MarshalText encodes d in the format that UnmarshalText decodes.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// Default returns the settings of an empty document.
func Default() Settings {
	return Settings{
		Platform: Platform{Timeout: Duration{2 * time.Second}, Protocol: ProtocolOwn},
		Limits:   Limits{MaxBodyBytes: 4 << 20, MaxConcurrent: 4096, MaxAttempts: 3},
		Bounds: Bounds{
			RetryRatio: 0.1, RetrySlack: 10, RetryWindow: Duration{10 * time.Second}, ColdRatio: 1,
			SettleTime: Duration{3 * time.Second}, StopGrace: Duration{8 * time.Second}, EntryTTL: Duration{2 * time.Second},
		},
		Duties: Duties{
			Held:           []string{}, // nil would be written as null, which no settings file may hold
			CallsPerSecond: 50, LeaseTTL: Duration{3 * time.Second}, ReportWindow: Duration{5 * time.Second},
			ReportDue: Duration{10 * time.Second}, ReportTolerance: 0.05,
		},
		Sharing: Sharing{Enabled: true},
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

// Read reads and checks the settings in the named file. The error lists every problem with its field and line.
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

// Parse decodes and checks settings. The error is a jsontext.Problems.
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

// withAddresses returns the settings with the listen addresses in place of advertised addresses that are not set.
func (s Settings) withAddresses() Settings {
	if !s.Advertise.Callers.IsValid() {
		s.Advertise.Callers = s.Listen.Callers
	}
	if !s.Advertise.Nodes.IsValid() {
		s.Advertise.Nodes = s.Listen.Nodes
	}
	return s
}
