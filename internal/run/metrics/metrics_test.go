package metrics

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"ebonyferry/internal/edge/caller"
)

func scrape(t *testing.T, m *Metrics) string {
	t.Helper()
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Body.String()
}

func TestAccountSeriesAreBounded(t *testing.T) {
	m, err := New()
	if err != nil {
		t.Fatal(err)
	}
	const accounts = 4900
	for i := range accounts {
		m.RecordFirstToken(caller.ClassQuick, fmt.Sprintf("account%d", i), time.Second)
	}
	page := scrape(t, m)
	got := strings.Count(page, "ferry_first_token_seconds_count{")
	if want := MaxAccounts + 1; got != want {
		t.Errorf("series: got %d, want %d", got, want)
	}
	want := fmt.Sprintf("%d", accounts-MaxAccounts)
	if line := lineWith(page, `ferry_first_token_seconds_count{account="other"`); !strings.HasSuffix(line, " "+want) {
		t.Errorf("series of the other accounts: got %q, want count %s", line, want)
	}
}

func TestTargetsAreBucketBounds(t *testing.T) {
	m, err := New()
	if err != nil {
		t.Fatal(err)
	}
	m.RecordFirstToken(caller.ClassQuick, "a", time.Second)
	m.RecordTokenGap(caller.ClassQuick, "a", time.Millisecond)
	page := scrape(t, m)
	for _, want := range []string{`le="1.9"`, `le="0.074"`} {
		if !strings.Contains(page, want) {
			t.Errorf("metrics hold no bucket %s", want)
		}
	}
}

func lineWith(page, part string) string {
	for line := range strings.Lines(page) {
		if strings.Contains(line, part) {
			return strings.TrimSpace(line)
		}
	}
	return ""
}
