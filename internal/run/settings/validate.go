// This file defines the checks on settings.

package settings

import (
	"cmp"
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"time"

	"github.com/apex/log"

	"ebonyferry/internal/core/jsontext"
)

var nodeName = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// validator collects the problems of one document.
type validator struct{ problems jsontext.Problems }

func (v *validator) add(field, format string, args ...any) {
	v.problems = append(v.problems, jsontext.Problem{Field: field, Message: fmt.Sprintf(format, args...)})
}

func validate(s Settings) jsontext.Problems {
	v := &validator{}
	v.required(reflect.ValueOf(s), "")
	if s.Node.Name != "" && !nodeName.MatchString(s.Node.Name) {
		v.add("node.name", "name %q does not consist of lower-case letters, digits, \"-\" and \".\"", s.Node.Name)
	}
	atLeast(v, "node.cpuCores", s.Node.CPUCores, 0)
	v.addresses(s)
	v.certificates(s.TLS)
	v.limits(s.Limits)
	v.timing(s.Timing)
	v.bounds(s.Bounds)
	v.duties(s.Duties)
	atLeast(v, "platform.timeout", s.Platform.Timeout.Duration, time.Millisecond)
	if s.Platform.Protocol != ProtocolOwn && s.Platform.Protocol != ProtocolAdapter {
		v.add("platform.speaks", "%q is neither %s nor %s", s.Platform.Protocol, ProtocolOwn, ProtocolAdapter)
	}
	if _, err := log.ParseLevel(s.Log.Level); err != nil {
		v.add("log.level", "level %q is not debug, info, warn or error", s.Log.Level)
	}
	if s.Log.Format != "json" && s.Log.Format != "text" {
		v.add("log.format", "format %q is neither json nor text", s.Log.Format)
	}
	return v.problems
}

// required reports required fields that are empty.
func (v *validator) required(val reflect.Value, path string) {
	for i := range val.NumField() {
		field := val.Type().Field(i)
		name := field.Tag.Get("json")
		if path != "" {
			name = path + "." + name
		}
		if field.Tag.Get("required") == "true" && val.Field(i).IsZero() {
			v.add(name, "is required")
		}
		if isGroup(field.Type) {
			v.required(val.Field(i), name)
		}
	}
}

// isGroup reports whether t is a group of settings rather than the type of a value.
func isGroup(t reflect.Type) bool {
	return t.Kind() == reflect.Struct && t.PkgPath() == reflect.TypeFor[Settings]().PkgPath() && t != reflect.TypeFor[Duration]()
}

// listenAddress is an address to listen on, with its certificate.
type listenAddress struct {
	field string
	addr  netip.AddrPort
	cert  Certificate
}

func (v *validator) addresses(s Settings) {
	listeners := []listenAddress{
		{"listen.callers", s.Listen.Callers, s.TLS.Callers},
		{"listen.nodes", s.Listen.Nodes, s.TLS.Nodes},
		{"listen.operators", s.Listen.Operators, s.TLS.Callers},
	}
	for _, l := range listeners {
		if l.addr.IsValid() && !l.addr.Addr().IsLoopback() && !l.cert.IsSet() && !s.TLS.PlainText {
			v.add(l.field, "address %s is not loopback and has no certificate; set one under tls, or set tls.plainText", l.addr)
		}
	}
	seen := make(map[netip.AddrPort]string)
	listeners = append(listeners, listenAddress{field: "listen.status", addr: s.Listen.Status},
		listenAddress{field: "listen.entries", addr: s.Listen.Entries}, listenAddress{field: "listen.ready", addr: s.Listen.Ready})
	for _, l := range listeners {
		if !l.addr.IsValid() || l.addr.Port() == 0 {
			continue
		}
		if other, ok := seen[l.addr]; ok {
			v.add(l.field, "address %s is also that of %s", l.addr, other)
		}
		seen[l.addr] = l.field
	}
}

func (v *validator) certificates(t TLS) {
	for _, c := range []struct {
		field  string
		cert   Certificate
		wantCA bool
	}{{"tls.callers", t.Callers, false}, {"tls.nodes", t.Nodes, true}} {
		if !c.cert.IsSet() {
			continue
		}
		if c.cert.CertFile == "" {
			v.add(c.field+".certFile", "is required with keyFile")
		}
		if c.cert.KeyFile == "" {
			v.add(c.field+".keyFile", "is required with certFile")
		}
		if c.wantCA && c.cert.CAFile == "" {
			v.add(c.field+".caFile", "is required, since nodes check each other's certificates")
		}
	}
}

const (
	// minMemoryMB leaves one body of 4 MiB room beside the 20 MiB that an idle process uses.
	minMemoryMB = 48
	// minFiles leaves each listener a few connections beside the 30 descriptors that an idle process has open.
	minFiles = 128
)

func (v *validator) limits(l Limits) {
	if l.MemoryMB != 0 {
		atLeast(v, "limits.memoryMB", l.MemoryMB, minMemoryMB)
	}
	if l.MaxFiles != 0 {
		atLeast(v, "limits.maxFiles", l.MaxFiles, minFiles)
	}
	atLeast(v, "limits.maxBodyBytes", l.MaxBodyBytes, 1024)
	atLeast(v, "limits.maxConcurrent", l.MaxConcurrent, 1)
	atLeast(v, "limits.maxAttempts", l.MaxAttempts, 1)
}

func (v *validator) timing(t Timing) {
	atLeast(v, "timing.firstTokenTarget", t.FirstTokenTarget.Duration, 10*time.Millisecond)
	atLeast(v, "timing.bodyTimeout", t.BodyTimeout.Duration, 100*time.Millisecond)
	atLeast(v, "timing.writeTimeout", t.WriteTimeout.Duration, 100*time.Millisecond)
	atLeast(v, "timing.stallTimeout", t.StallTimeout.Duration, 100*time.Millisecond)
	atLeast(v, "timing.resumeGrace", t.ResumeGrace.Duration, 0)
}

func (v *validator) bounds(b Bounds) {
	atLeast(v, "bounds.retryRatio", b.RetryRatio, 0)
	atLeast(v, "bounds.retrySlack", b.RetrySlack, 0)
	atLeast(v, "bounds.retryWindow", b.RetryWindow.Duration, time.Second)
	atLeast(v, "bounds.coldOver", b.ColdRatio, 0)
	atLeast(v, "bounds.coldSlack", b.ColdSlack, 0)
	atLeast(v, "bounds.settleTime", b.SettleTime.Duration, time.Second)
	atLeast(v, "bounds.stopGrace", b.StopGrace.Duration, time.Second)
	atLeast(v, "bounds.entryTtl", b.EntryTTL.Duration, 100*time.Millisecond)
}

func (v *validator) duties(d Duties) {
	if len(d.Held) > 0 && !d.IsSet() {
		v.add("duties.addr", "is required with duties.held")
	}
	for _, name := range d.Held {
		if name != DutyUsage && name != DutyScaling {
			v.add("duties.held", "%q is neither %s nor %s", name, DutyUsage, DutyScaling)
		}
	}
	atLeast(v, "duties.callsPerSecond", d.CallsPerSecond, 1)
	atLeast(v, "duties.leaseTtl", d.LeaseTTL.Duration, time.Second)
	atLeast(v, "duties.reportWindow", d.ReportWindow.Duration, time.Second)
	atLeast(v, "duties.reportDue", d.ReportDue.Duration, time.Second)
	atLeast(v, "duties.reportTolerance", d.ReportTolerance, 0)
}

func atLeast[T cmp.Ordered](v *validator, field string, got, least T) {
	if got < least {
		v.add(field, "is %v and must be at least %v", got, least)
	}
}
