// This file defines lookups on the configuration in force.

package bundle

import (
	"slices"
	"strings"
)

// index holds the lookup tables of one InForce.
type index struct {
	accounts map[string]int         // position of the account by key hash
	usable   map[ModelVersion][]int // positions of servers that take new work
	servers  map[string]int         // position by ID
}

// NewInForce returns the configuration in force under head, with lookup tables. b and k are the documents that head
// refers to.
func NewInForce(head Head, b Bundle, k Keys) *InForce {
	in := &InForce{Head: head, Bundle: b, Keys: k}
	idx := &index{
		accounts: make(map[string]int),
		usable:   make(map[ModelVersion][]int),
		servers:  make(map[string]int),
	}
	for i, a := range k.Accounts {
		for _, h := range a.KeyHashes {
			idx.accounts[h] = i
		}
	}
	for i, s := range b.Servers {
		idx.servers[s.ID] = i
		if !in.Usable(s) {
			continue
		}
		for _, mv := range s.Models {
			idx.usable[mv] = append(idx.usable[mv], i)
		}
	}
	in.index = idx
	return in
}

// Usable reports whether the service marks allow new work on the server.
func (in *InForce) Usable(s Server) bool {
	out := &in.Head.OutOfService
	return !slices.Contains(out.FailureDomains, s.FailureDomain) && !slices.Contains(out.Servers, s.ID)
}

// UsableVM reports whether the service marks allow new callers on the entry VM.
func (in *InForce) UsableVM(name, failureDomain string) bool {
	out := &in.Head.OutOfService
	return !slices.Contains(out.FailureDomains, failureDomain) && !slices.Contains(out.VMs, name)
}

// Server returns the server with this ID.
func (in *InForce) Server(id string) (Server, bool) {
	if in.index != nil {
		i, ok := in.index.servers[id]
		if !ok {
			return Server{}, false
		}
		return in.Bundle.Servers[i], true
	}
	i := slices.IndexFunc(in.Bundle.Servers, func(s Server) bool { return s.ID == id })
	if i < 0 {
		return Server{}, false
	}
	return in.Bundle.Servers[i], true
}

// Engines returns the engines that serve mv and may receive new work, in order of ID.
func (in *InForce) Engines(mv ModelVersion) []Server {
	var servers []Server
	if in.index != nil {
		for _, i := range in.index.usable[mv] {
			servers = append(servers, in.Bundle.Servers[i])
		}
		return servers
	}
	for _, s := range in.Bundle.Servers {
		if s.Serves(mv) && in.Usable(s) {
			servers = append(servers, s)
		}
	}
	return servers
}

// ServiceServers returns the servers of a plain service that may receive new work, in order of ID.
func (in *InForce) ServiceServers(service string) []Server {
	var servers []Server
	for _, s := range in.Bundle.Servers {
		if s.Kind == KindService && s.Service == service && in.Usable(s) {
			servers = append(servers, s)
		}
	}
	return servers
}

// Shares returns the shares of a model's versions: those that a rollout has set in the head, else the bundle's. It
// returns nil for a model that the bundle does not contain.
func (in *InForce) Shares(model string) []VersionShare {
	m, ok := in.Bundle.model(model)
	if !ok {
		return nil
	}
	if shares, ok := in.Head.VersionShares[model]; ok {
		return shares
	}
	return m.Versions
}

// Account returns the account that owns a bearer key.
func (in *InForce) Account(bearer string) (Account, bool) {
	hash := KeyHash(bearer)
	if in.index != nil {
		i, ok := in.index.accounts[hash]
		if !ok {
			return Account{}, false
		}
		return in.Keys.Accounts[i], true
	}
	for _, a := range in.Keys.Accounts {
		if slices.Contains(a.KeyHashes, hash) {
			return a, true
		}
	}
	return Account{}, false
}

// Service returns the service with the longest prefix of path, and the rest of the path, which is "/" when nothing
// follows the prefix.
func (in *InForce) Service(path string) (svc Service, rest string, ok bool) {
	for _, s := range in.Bundle.Services {
		tail, found := strings.CutPrefix(path, s.Prefix)
		if !found || tail != "" && tail[0] != '/' || ok && len(s.Prefix) < len(svc.Prefix) {
			continue
		}
		if tail == "" {
			tail = "/"
		}
		svc, rest, ok = s, tail, true
	}
	return svc, rest, ok
}

// Route returns the first route that matches a call. path is relative to the service's prefix, without the query.
func (s Service) Route(method, path string) (Route, bool) {
	for _, r := range s.Routes {
		if r.Method == method && r.matches(path) {
			return r, true
		}
	}
	return Route{}, false
}

func (r Route) matches(path string) bool {
	if !safePath(path) {
		return false
	}
	base, wild := strings.CutSuffix(r.Path, "/*")
	if !wild {
		return path == r.Path
	}
	return path == base || strings.HasPrefix(path, base+"/")
}
