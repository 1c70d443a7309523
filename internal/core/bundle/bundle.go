// Package bundle defines the operators' configuration: which backend servers, models, versions and services
// take traffic, in which failure domains and in what shares.
//
// A Bundle is an immutable document. Operators create it, sign it off and switch the Head to it. The Head alone
// determines which configuration is in force. Its Revision only grows: a roll-back is a new, higher revision that
// refers to an older bundle. Nodes read both as immutable values.
//
// Parse reads and validates a bundle. An InForce combines a head with its bundle and keys; it answers lookups,
// and its Next methods compute the head that follows from a change. EncodeBundle and AssembleBundle convert a
// bundle to and from store values.
package bundle

import (
	"net/netip"
	"time"
)

// Revision orders heads, and separately the versions of Keys. Zero means none.
type Revision uint64

// ShareTotal is the sum of the shares of a model's versions, in thousandths.
const ShareTotal = 1000

// Bundle is one configuration document.
type Bundle struct {
	ID       string    `json:"id"`     // content digest of the canonical form, filled in at creation
	Author   string    `json:"author"` // operator that created it
	Note     string    `json:"note,omitempty"`
	Servers  []Server  `json:"servers"`  // unique by ID
	Models   []Model   `json:"models"`   // unique by Name
	Services []Service `json:"services"` // unique by Name and by Prefix
	// Regions lists the regions that callers come from. When it is not empty, every server is in one of them,
	// and every model that takes traffic has a server in each of them.
	Regions []string `json:"regions,omitempty"`
	// Loads bounds how fast engines load versions from the weight store.
	Loads Loads `json:"loads,omitzero"`
}

// Loads bounds the rate at which the whole fleet loads versions. Zero values mean the defaults.
type Loads struct {
	PerMinute int `json:"perMinute,omitempty"` // loads started per minute; 12 when zero
	Percent   int `json:"percent,omitempty"`   // of a model's servers that load concurrently, at least one; 20 when zero
}

// ServerKind distinguishes model engines from servers of plain services.
type ServerKind string

// The kinds of backend server.
const (
	KindEngine  ServerKind = "engine"
	KindService ServerKind = "service"
)

// Server is one backend server.
type Server struct {
	ID             string         `json:"id"`
	Kind           ServerKind     `json:"kind"`
	Addr           netip.AddrPort `json:"addr"`
	Region         string         `json:"region"`
	FailureDomain  string         `json:"failureDomain"`
	Service        string         `json:"service,omitempty"`        // name of the service, for KindService
	Models         []ModelVersion `json:"models,omitempty"`         // versions it serves, for KindEngine
	MaxStreams     int            `json:"maxStreams,omitempty"`     // limit of concurrent streams or calls when warm
	ColdStreams    int            `json:"coldStreams,omitempty"`    // that limit right after a start
	MemoryTokens   int            `json:"memoryTokens,omitempty"`   // engine memory in tokens
	HonoursFencing bool           `json:"honoursFencing,omitempty"` // rejects an order with an outdated fencing number
}

// ModelVersion names one version of a model.
type ModelVersion struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

// Model is a served model with the shares of its versions.
type Model struct {
	Name     string         `json:"name"`
	Versions []VersionShare `json:"versions"` // shares sum to ShareTotal
}

// VersionShare is the share of a model's new requests that one version takes.
type VersionShare struct {
	Version string `json:"version"`
	Share   int    `json:"share"` // in thousandths
}

// Service is a plain HTTP service, as opposed to a model.
type Service struct {
	Name   string  `json:"name"`
	Prefix string  `json:"prefix"` // path prefix at the node, such as "/services/bookings"
	Routes []Route `json:"routes"`
}

// Route is one call of a service. The first route whose Method and Path match a call applies; a call that matches
// none is rejected.
type Route struct {
	Method     string `json:"method"`
	Path       string `json:"path"` // below the prefix, such as "/bookings"; a trailing "/*" matches any rest
	Repeatable bool   `json:"repeatable"`
}

// Head determines the configuration in force: a bundle, the service marks, the keys and the state of rollouts.
type Head struct {
	Revision     Revision     `json:"revision"` // one more than the head it replaced
	BundleID     string       `json:"bundleId"`
	SignedOffBy  []string     `json:"signedOffBy,omitempty"` // operators whose signatures were checked
	OutOfService OutOfService `json:"outOfService"`
	ChangedBy    string       `json:"changedBy"` // operator of this change
	Nonce        string       `json:"nonce"`     // lets a writer recognize its own write when the response is lost
	// VersionShares overrides the bundle's shares by model while a rollout is in progress or taken back.
	VersionShares map[string][]VersionShare `json:"versionShares,omitempty"`
	// KeysRevision is the revision of the account, operator and token keys that belong to this head.
	KeysRevision Revision `json:"keysRevision,omitempty"`
	// KeysDigest is the content digest of those keys.
	KeysDigest string `json:"keysDigest,omitempty"`
	// BundleSince is the revision at which BundleID came into force. A sign-off includes it, so that it cannot
	// be reused once another bundle has been in force.
	BundleSince Revision `json:"bundleSince"`
	// RolloutFences holds, by model, the fencing number of the rollout controller that last wrote
	// VersionShares. It never shrinks while the bundle is in force.
	RolloutFences map[string]uint64 `json:"rolloutFences,omitempty"`
	// Rollouts holds the rollouts that were started with the bundle, by model.
	Rollouts  map[string]Rollout `json:"rollouts,omitempty"`
	ChangedAt time.Time          `json:"changedAt,omitzero"`
	Summary   string             `json:"summary,omitempty"` // describes this change to operators
}

// OutOfService lists what operators took out of service. It receives no new work.
type OutOfService struct {
	FailureDomains []string `json:"failureDomains,omitempty"`
	Servers        []string `json:"servers,omitempty"` // server IDs
	VMs            []string `json:"vms,omitempty"`     // entry VM names
}
