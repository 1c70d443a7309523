// This file defines the canonical form of documents and the digests computed over it.

package bundle

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
)

// Canonical returns a sorted copy of b with its ID set to the digest of the sorted form. Routes keep their order,
// since the first that matches applies.
func Canonical(b Bundle) Bundle {
	b.Servers = sorted(b.Servers, func(s Server) string { return s.ID })
	for i := range b.Servers {
		b.Servers[i].Models = sorted(b.Servers[i].Models, func(mv ModelVersion) string { return mv.Model + " " + mv.Version })
	}
	b.Models = sorted(b.Models, func(m Model) string { return m.Name })
	for i := range b.Models {
		b.Models[i].Versions = sorted(b.Models[i].Versions, func(vs VersionShare) string { return vs.Version })
	}
	b.Services = sorted(b.Services, func(s Service) string { return s.Name })
	b.Regions = sorted(b.Regions, func(r string) string { return r })
	b.ID = ""
	b.ID = digest(mustMarshal(b))
	return b
}

// CanonicalKeys returns a sorted copy of k. Token keys keep their order, since the first one signs.
func CanonicalKeys(k Keys) Keys {
	k.Accounts = sorted(k.Accounts, func(a Account) string { return a.ID })
	k.Operators = sorted(k.Operators, func(op Operator) string { return op.Name })
	return k
}

// KeysDigest returns the content digest of k.
func KeysDigest(k Keys) string { return digest(mustMarshal(CanonicalKeys(k))) }

// sorted returns a copy of list sorted by key. An empty list becomes nil, so that it has one encoding.
func sorted[T any](list []T, key func(T) string) []T {
	if len(list) == 0 {
		return nil
	}
	out := slices.Clone(list)
	slices.SortStableFunc(out, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
	return out
}

func digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// mustMarshal encodes a document of this package as JSON. The types of this package always encode.
func mustMarshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
