// This file defines when a bundle is valid.

package bundle

import (
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
)

// namePattern matches valid names. They become part of store keys, URLs and metric attributes.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// reservedPrefixes are the path prefixes that the node serves itself.
var reservedPrefixes = []string{"/v1", "/operator", "/node", "/metrics", "/healthz", "/readyz"}

// validator collects the problems of one document.
type validator struct {
	problems Problems
}

func (v *validator) addf(field, format string, args ...any) {
	v.problems = append(v.problems, Problem{Field: field, Message: fmt.Sprintf(format, args...)})
}

func (v *validator) name(field, value string) {
	if value == "" {
		v.addf(field, "must be given")
		return
	}
	if !namePattern.MatchString(value) {
		v.addf(field, "%q is not a name: use up to 64 letters, digits, dots, dashes and underscores, a letter or digit first", value)
	}
}

// unique adds a problem for a second use of value. first maps each value to the field that used it first.
func (v *validator) unique(first map[string]string, field, value string) {
	if value == "" {
		return
	}
	if was, ok := first[value]; ok {
		v.addf(field, "%q is already used by %s", value, was)
		return
	}
	first[value] = field
}

// Validate returns every problem of b, or nil.
func Validate(b Bundle) Problems {
	var v validator
	if len(b.Servers) == 0 {
		v.addf("servers", "must name at least one server")
	}
	v.regions(b)
	v.loads(b.Loads)
	v.servers(b)
	v.models(b)
	v.services(b)
	return v.problems
}

func (v *validator) regions(b Bundle) {
	first := make(map[string]string)
	for i, region := range b.Regions {
		field := fmt.Sprintf("regions[%d]", i)
		v.name(field, region)
		v.unique(first, field, region)
	}
}

const maxLoadsPerMinute = 6000

func (v *validator) loads(l Loads) {
	if l.PerMinute < 0 || l.PerMinute > maxLoadsPerMinute {
		v.addf("loads.perMinute", "must be between 0 and %d", maxLoadsPerMinute)
	}
	if l.Percent < 0 || l.Percent > 100 {
		v.addf("loads.percent", "must be between 0 and 100")
	}
}

func (v *validator) servers(b Bundle) {
	ids, addrs := make(map[string]string), make(map[string]string)
	domains := make(map[string]string) // region by failure domain
	for i, s := range b.Servers {
		field := fmt.Sprintf("servers[%d]", i)
		v.name(field+".id", s.ID)
		v.unique(ids, field+".id", s.ID)
		v.name(field+".region", s.Region)
		v.name(field+".failureDomain", s.FailureDomain)
		if !s.Addr.IsValid() || s.Addr.Port() == 0 {
			v.addf(field+".addr", "must be an IP address with a port, such as 10.0.0.1:8000")
		} else {
			v.unique(addrs, field+".addr", s.Addr.String())
		}
		if was, ok := domains[s.FailureDomain]; ok && was != s.Region {
			v.addf(field+".region", "failure domain %q is in region %q for an earlier server", s.FailureDomain, was)
		}
		domains[s.FailureDomain] = s.Region
		if len(b.Regions) > 0 && s.Region != "" && !slices.Contains(b.Regions, s.Region) {
			v.addf(field+".region", "region %q is not listed in regions", s.Region)
		}
		v.server(field, s, b)
	}
}

// server checks a server's limits and the fields that depend on its kind.
func (v *validator) server(field string, s Server, b Bundle) {
	if s.MaxStreams < 0 {
		v.addf(field+".maxStreams", "must not be negative")
	}
	if s.ColdStreams < 0 || s.ColdStreams > s.MaxStreams && s.MaxStreams > 0 {
		v.addf(field+".coldStreams", "must be between 0 and maxStreams")
	}
	if s.MemoryTokens < 0 {
		v.addf(field+".memoryTokens", "must not be negative")
	}
	switch s.Kind {
	case KindEngine:
		v.engine(field, s, b)
	case KindService:
		v.plainServer(field, s, b)
	default:
		v.addf(field+".kind", "must be %q or %q", KindEngine, KindService)
	}
}

func (v *validator) engine(field string, s Server, b Bundle) {
	if s.Service != "" {
		v.addf(field+".service", "an engine serves no plain service")
	}
	if len(s.Models) == 0 {
		v.addf(field+".models", "must name at least one model version")
	}
	seen := make(map[string]string)
	for i, mv := range s.Models {
		at := fmt.Sprintf("%s.models[%d]", field, i)
		v.unique(seen, at, mv.Model+" "+mv.Version)
		model, ok := b.model(mv.Model)
		if !ok {
			v.addf(at+".model", "model %q does not exist in models", mv.Model)
			continue
		}
		if !model.has(mv.Version) {
			v.addf(at+".version", "version %q does not exist in model %q", mv.Version, mv.Model)
		}
	}
}

func (v *validator) plainServer(field string, s Server, b Bundle) {
	if len(s.Models) > 0 {
		v.addf(field+".models", "a plain service serves no models")
	}
	if !slices.ContainsFunc(b.Services, func(svc Service) bool { return svc.Name == s.Service }) {
		v.addf(field+".service", "service %q does not exist in services", s.Service)
	}
}

func (v *validator) models(b Bundle) {
	seen := make(map[string]string)
	for i, m := range b.Models {
		field := fmt.Sprintf("models[%d]", i)
		v.name(field+".name", m.Name)
		v.unique(seen, field+".name", m.Name)
		v.shares(field+".versions", m.Versions)
		v.coverage(field, m, b)
	}
}

// shares checks that shares contain each version once and sum to ShareTotal.
func (v *validator) shares(field string, shares []VersionShare) {
	seen := make(map[string]string)
	sum := 0
	for i, vs := range shares {
		at := fmt.Sprintf("%s[%d]", field, i)
		v.name(at+".version", vs.Version)
		v.unique(seen, at+".version", vs.Version)
		if vs.Share < 0 || vs.Share > ShareTotal {
			v.addf(at+".share", "must be between 0 and %d", ShareTotal)
			continue
		}
		sum += vs.Share
	}
	if sum != ShareTotal {
		v.addf(field, "shares sum to %d, must sum to %d", sum, ShareTotal)
	}
}

// coverage checks that every version has a server, and that each region has a server for a version that takes traffic.
func (v *validator) coverage(field string, m Model, b Bundle) {
	regions := make(map[string]bool)
	for i, vs := range m.Versions {
		mv := ModelVersion{Model: m.Name, Version: vs.Version}
		found := false
		for _, s := range b.Servers {
			if s.Serves(mv) {
				found = true
				regions[s.Region] = regions[s.Region] || vs.Share > 0
			}
		}
		if !found {
			v.addf(fmt.Sprintf("%s.versions[%d]", field, i), "no server serves version %q of model %q", vs.Version, m.Name)
		}
	}
	for _, region := range b.Regions {
		if !regions[region] {
			v.addf(field, "region %q has no server for a version of model %q that takes traffic", region, m.Name)
		}
	}
}

func (v *validator) services(b Bundle) {
	seen, prefixes := make(map[string]string), make(map[string]string)
	for i, s := range b.Services {
		field := fmt.Sprintf("services[%d]", i)
		v.name(field+".name", s.Name)
		v.unique(seen, field+".name", s.Name)
		v.prefix(field+".prefix", s.Prefix)
		v.unique(prefixes, field+".prefix", s.Prefix)
		if len(s.Routes) == 0 {
			v.addf(field+".routes", "must name at least one route")
		}
		for j, r := range s.Routes {
			v.route(fmt.Sprintf("%s.routes[%d]", field, j), r)
		}
		if !slices.ContainsFunc(b.Servers, func(srv Server) bool { return srv.Kind == KindService && srv.Service == s.Name }) {
			v.addf(field, "no server serves service %q", s.Name)
		}
	}
}

func (v *validator) prefix(field, prefix string) {
	if !cleanPath(prefix) || prefix == "/" {
		v.addf(field, "%q is not a path prefix such as /services/bookings", prefix)
		return
	}
	for _, reserved := range reservedPrefixes {
		if prefix == reserved || strings.HasPrefix(prefix, reserved+"/") {
			v.addf(field, "%q is reserved for the node", reserved)
		}
	}
}

func (v *validator) route(field string, r Route) {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete:
	default:
		v.addf(field+".method", "%q is not one of GET, HEAD, POST, PUT, PATCH and DELETE", r.Method)
	}
	path := r.Path
	if rest, ok := strings.CutSuffix(path, "/*"); ok {
		path = rest
	}
	if path != "" && !cleanPath(path) || r.Path == "" {
		v.addf(field+".path", "%q is not a path such as /bookings or /bookings/*", r.Path)
	}
}

// cleanPath reports whether path is valid in a bundle: a safe path without wildcards, query or escapes.
func cleanPath(path string) bool {
	return safePath(path) && !strings.ContainsAny(path, "*?#% \\")
}

// safePath reports whether path is absolute and has no empty or dot element, so that the node and a backend server
// interpret it alike.
func safePath(path string) bool {
	if path == "/" {
		return true
	}
	rest, ok := strings.CutPrefix(path, "/")
	if !ok {
		return false
	}
	for elem := range strings.SplitSeq(rest, "/") {
		if elem == "" || elem == "." || elem == ".." {
			return false
		}
	}
	return true
}

// Serves reports whether the server is an engine that serves mv.
func (s Server) Serves(mv ModelVersion) bool {
	return s.Kind == KindEngine && slices.Contains(s.Models, mv)
}

func (b Bundle) model(name string) (Model, bool) {
	i := slices.IndexFunc(b.Models, func(m Model) bool { return m.Name == name })
	if i < 0 {
		return Model{}, false
	}
	return b.Models[i], true
}

func (m Model) has(version string) bool {
	return slices.ContainsFunc(m.Versions, func(vs VersionShare) bool { return vs.Version == version })
}
