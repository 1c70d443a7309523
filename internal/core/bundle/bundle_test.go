package bundle

import (
	"crypto/ed25519"
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

const validBundle = `{
	// Two engines and one service.
	"author": "ana",
	"regions": ["neng"],
	"servers": [
		{"id": "e2", "kind": "engine", "addr": "10.0.0.2:8000", "region": "neng", "failureDomain": "b", "models": [{"model": "m", "version": "v2"}]},
		{"id": "e1", "kind": "engine", "addr": "10.0.0.1:8000", "region": "neng", "failureDomain": "a", "models": [{"model": "m", "version": "v1"}], "maxStreams": 8, "coldStreams": 2},
		{"id": "d1", "kind": "service", "addr": "10.0.0.3:8000", "region": "neng", "failureDomain": "a", "service": "desk"},
	],
	"models": [{"name": "m", "versions": [{"version": "v1", "share": 950}, {"version": "v2", "share": 50}]}],
	"services": [{"name": "desk", "prefix": "/services/desk", "routes": [{"method": "POST", "path": "/bookings"}, {"method": "GET", "path": "/stock/*", "repeatable": true}]}],
}`

func mustParse(t testing.TB, text string) Bundle {
	t.Helper()
	b, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestParseReportsProblems(t *testing.T) {
	tests := []struct {
		name, old, new string
		want           string // one line of the error
	}{
		{"unknown field", `"author"`, `"writer"`, "line 3: writer: field is not known"},
		{"wrong case", `"kind": "engine", "addr": "10.0.0.2:8000"`, `"Kind": "engine", "addr": "10.0.0.2:8000"`, "line 6: servers[0].Kind: field is not known"},
		{"field twice", `"id": "e2"`, `"id": "e2", "id": "e3"`, "line 6: servers[0].id: field is given twice"},
		{"wrong type", `"share": 50`, `"share": "50"`, "line 10: models[0].versions[1].share: must be a whole number"},
		{"null", `"author": "ana"`, `"author": null`, "line 3: author: must not be null"},
		{"address", `10.0.0.2:8000`, `engine:8000`, `line 6: servers[0].addr: ParseAddr("engine"): unable to parse IP`},
		{"duplicate server", `"id": "e2"`, `"id": "e1"`, `line 7: servers[1].id: "e1" is already used by servers[0].id`},
		{"duplicate address", `10.0.0.2:8000`, `10.0.0.1:8000`, `line 7: servers[1].addr: "10.0.0.1:8000" is already used by servers[0].addr`},
		{"shares", `"share": 50`, `"share": 60`, "line 10: models[0].versions: shares sum to 1010, must sum to 1000"},
		{"version without a server", `{"version": "v2", "share": 50}`, `{"version": "v2", "share": 25}, {"version": "v3", "share": 25}`, `line 10: models[0].versions[2]: no server serves version "v3" of model "m"`},
		{"unknown version", `"version": "v2"}]}`, `"version": "v9"}]}`, `line 6: servers[0].models[0].version: version "v9" does not exist in model "m"`},
		{"unknown model", `{"model": "m", "version": "v2"}`, `{"model": "n", "version": "v2"}`, `line 6: servers[0].models[0].model: model "n" does not exist in models`},
		{"region without a server", `["neng"]`, `["neng", "lk"]`, `line 10: models[0]: region "lk" has no server for a version of model "m" that takes traffic`},
		{"region not listed", `["neng"]`, `["lk"]`, `line 6: servers[0].region: region "neng" is not listed in regions`},
		{"unknown service", `"service": "desk"`, `"service": "shop"`, `line 8: servers[2].service: service "shop" does not exist in services`},
		{"service without server", `"service": "desk"`, `"service": "shop"`, `line 11: services[0]: no server serves service "desk"`},
		{"reserved prefix", `/services/desk`, `/v1/desk`, `line 11: services[0].prefix: "/v1" is reserved for the node`},
		{"bad prefix", `/services/desk`, `/services/../desk`, `line 11: services[0].prefix: "/services/../desk" is not a path prefix such as /services/bookings`},
		{"bad method", `"POST"`, `"post"`, `line 11: services[0].routes[0].method: "post" is not one of GET, HEAD, POST, PUT, PATCH and DELETE`},
		{"domain in two regions", `"region": "neng", "failureDomain": "b"`, `"region": "lk", "failureDomain": "a"`, `line 7: servers[1].region: failure domain "a" is in region "lk" for an earlier server`},
		{"cold above warm", `"coldStreams": 2`, `"coldStreams": 9`, "line 7: servers[1].coldStreams: must be between 0 and maxStreams"},
		{"load limits", `"author": "ana"`, `"loads": {"percent": 101}`, "line 3: loads.percent: must be between 0 and 100"},
		{"syntax", `"author": "ana",`, `"author": "ana"`, "line 4, column 2: invalid character '\"' after object value (expecting ',' or '}')"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(validBundle, tt.old, tt.new, 1)))
			if !errors.Is(err, ErrInvalid) {
				t.Fatalf("got error %v, want ErrInvalid", err)
			}
			if got := strings.Split(err.Error(), "\n"); !slices.Contains(got, tt.want) {
				t.Errorf("got problems %q, want one of them %q", got, tt.want)
			}
		})
	}
}

func TestParseBoundsNesting(t *testing.T) {
	for _, text := range []string{strings.Repeat("[", 1<<20), strings.Repeat("[/*]*/", 1<<18), strings.Repeat("[//]\n", 1<<18)} {
		if _, err := Parse([]byte(text)); !errors.Is(err, ErrInvalid) {
			t.Errorf("got error %v for %q..., want ErrInvalid", err, text[:8])
		}
	}
}

func TestCanonicalIgnoresOrderAndComments(t *testing.T) {
	a := mustParse(t, validBundle)
	lines := strings.Split(validBundle, "\n")
	lines[5], lines[6] = lines[6], lines[5]
	b := mustParse(t, strings.Join(lines, "\n"))
	if got, want := b.ID, a.ID; got != want {
		t.Errorf("got ID %s after swapping servers, want %s", got, want)
	}
	c := mustParse(t, strings.Replace(validBundle, "ana", "ben", 1))
	if c.ID == a.ID {
		t.Error("got the same ID for another author, want a different one")
	}
}

// targetSize builds a bundle and keys of the size that the system is designed for.
func targetSize() (Bundle, Keys) {
	b := Bundle{Author: "ana", Models: []Model{{Name: "m", Versions: []VersionShare{{"v1", ShareTotal}}}}}
	for i := range 600 {
		b.Servers = append(b.Servers, Server{
			ID: fmt.Sprintf("engine-%03d", i), Kind: KindEngine, Region: "neng", FailureDomain: "a",
			Addr:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 200), byte(i % 200)}), 8000),
			Models: []ModelVersion{{"m", "v1"}}, MaxStreams: 64, ColdStreams: 4, MemoryTokens: 1 << 20,
		})
	}
	k := Keys{
		Revision:  1,
		Operators: []Operator{{Name: "ana", PublicKeys: []ed25519.PublicKey{make([]byte, ed25519.PublicKeySize)}}},
		TokenKeys: []TokenKey{{ID: "t1", Secret: make([]byte, 32), NotAfter: time.Unix(1<<31, 0).UTC()}},
	}
	for i := range 4900 {
		id := fmt.Sprintf("account-%04d", i)
		k.Accounts = append(k.Accounts, Account{ID: id, KeyHashes: []string{KeyHash(id), KeyHash(id + "-next")}})
	}
	return Canonical(b), CanonicalKeys(k)
}

func TestPartsOfTargetSizeFitTheStore(t *testing.T) {
	const storeLimit = 1 << 20
	b, k := targetSize()
	values, err := EncodeBundle(b)
	if err != nil {
		t.Fatal(err)
	}
	keyValues := EncodeKeys(k)
	if len(keyValues) < 2 {
		t.Errorf("got %d parts of keys, want more than one", len(keyValues))
	}
	for _, v := range slices.Concat(values, keyValues) {
		if len(v) >= storeLimit {
			t.Errorf("got a part of %d bytes, want less than %d", len(v), storeLimit)
		}
	}
	slices.Reverse(keyValues)
	gotKeys, err := AssembleKeys(KeysDigest(k), keyValues)
	if err != nil || !reflect.DeepEqual(gotKeys, k) {
		t.Errorf("keys differ after a round trip, error %v", err)
	}
	gotBundle, err := AssembleBundle(b.ID, values)
	if err != nil || !reflect.DeepEqual(gotBundle, b) {
		t.Errorf("bundle differs after a round trip, error %v", err)
	}
	if _, err := AssembleKeys(KeysDigest(k), keyValues[1:]); !errors.Is(err, ErrIncomplete) {
		t.Errorf("got error %v without a part, want ErrIncomplete", err)
	}
	keyValues[0] = keyValues[1]
	if _, err := AssembleKeys(KeysDigest(k), keyValues); !errors.Is(err, ErrIncomplete) {
		t.Errorf("got error %v with a part twice, want ErrIncomplete", err)
	}
}

func TestDiff(t *testing.T) {
	from := mustParse(t, validBundle)
	text := strings.NewReplacer(`"share": 950`, `"share": 900`, `"share": 50`, `"share": 100`, `"id": "e2"`, `"id": "e3"`).Replace(validBundle)
	var got []string
	for _, c := range Diff(from, mustParse(t, text)) {
		got = append(got, string(c.Kind)+" "+c.Part+" "+c.Field)
	}
	want := []string{`removed server "e2" `, `added server "e3" `, `changed model "m" versions`}
	if !slices.Equal(got, want) {
		t.Errorf("got changes %q, want %q", got, want)
	}
	if got := Diff(from, from); len(got) != 0 {
		t.Errorf("got %d changes from a bundle to itself, want 0", len(got))
	}
}

func TestLookups(t *testing.T) {
	b := mustParse(t, validBundle)
	head := Head{OutOfService: OutOfService{FailureDomains: []string{"b"}, VMs: []string{"vm1"}}}
	for _, in := range []*InForce{NewInForce(head, b, Keys{}), {Head: head, Bundle: b}} {
		if got := len(in.Engines(ModelVersion{"m", "v2"})); got != 0 {
			t.Errorf("got %d engines in a domain out of service, want 0", got)
		}
		if got := len(in.Engines(ModelVersion{"m", "v1"})); got != 1 {
			t.Errorf("got %d engines for v1, want 1", got)
		}
		if in.UsableVM("vm1", "a") || in.UsableVM("vm2", "b") || !in.UsableVM("vm2", "a") {
			t.Error("got a wrong answer on VMs out of service")
		}
	}
	in := NewInForce(head, b, Keys{})
	routes := []struct {
		method, path string
		want         bool
	}{
		{"POST", "/services/desk/bookings", true},
		{"GET", "/services/desk/bookings", false},
		{"POST", "/services/desk/bookings/1", false},
		{"GET", "/services/desk/stock/a b/c", true},
		{"GET", "/services/desk/stock/../bookings", false},
		{"POST", "/services/desks/bookings", false},
	}
	for _, tt := range routes {
		svc, rest, ok := in.Service(tt.path)
		if ok {
			_, ok = svc.Route(tt.method, rest)
		}
		if ok != tt.want {
			t.Errorf("got match %v for %s %s, want %v", ok, tt.method, tt.path, tt.want)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validBundle))
	f.Add([]byte(`{"servers": [{"addr": 1}], /* */ }`))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := Parse(data)
		if err != nil {
			if !errors.Is(err, ErrInvalid) {
				t.Errorf("got error %v, want ErrInvalid", err)
			}
			return
		}
		again, err := Parse(mustMarshal(b))
		if err != nil || again.ID != b.ID {
			t.Errorf("got ID %s (%v) from the canonical form, want %s", again.ID, err, b.ID)
		}
	})
}

func FuzzAssembleKeys(f *testing.F) {
	f.Add(EncodeKeys(Keys{Revision: 1})[0])
	f.Fuzz(func(t *testing.T, value []byte) {
		k, err := AssembleKeys("", [][]byte{value})
		if err == nil {
			ValidateKeys(k)
		}
	})
}
