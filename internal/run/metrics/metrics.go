// Package metrics defines the OpenTelemetry metrics of a node and serves them in the text format of Prometheus.
//
// Latencies are histograms by class of work and client account. The number of accounts with separate series is bounded:
// the first MaxAccounts accounts get them, the rest share the series of the account "other".
package metrics

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"ebonyferry/internal/edge/caller"
)

// MaxAccounts is the maximum number of client accounts with separate series.
const MaxAccounts = 64

// OtherAccounts is the account label of the series that the remaining accounts share.
const OtherAccounts = "other"

// Upper bounds of the histogram buckets, in seconds. They include the latency targets of 1.9 s and 74 ms, so
// that the buckets count exactly the values that meet a target.
var (
	firstTokenBounds = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.9, 3, 5, 10, 30}
	tokenGapBounds   = []float64{0.005, 0.01, 0.02, 0.03, 0.04, 0.05, 0.074, 0.1, 0.2, 0.5, 1, 2, 5, 10}
)

// Metrics holds the instruments of one node. It is safe for concurrent use.
type Metrics struct {
	handler    http.Handler
	meter      metric.Meter
	requests   metric.Int64Counter
	firstToken metric.Float64Histogram
	tokenGap   metric.Float64Histogram

	mu       sync.RWMutex
	series   map[seriesKey]metric.MeasurementOption // guarded by mu
	accounts map[string]bool                        // accounts with separate series; guarded by mu
}

// seriesKey identifies the series of one class and account.
type seriesKey struct {
	class   caller.Class
	account string
}

// New returns the metrics of a node.
func New() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry), otelprometheus.WithoutScopeInfo())
	if err != nil {
		return nil, fmt.Errorf("metrics exporter: %w", err)
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(exporter))
	m := &Metrics{
		handler:  promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
		meter:    provider.Meter("ebonyferry"),
		series:   make(map[seriesKey]metric.MeasurementOption),
		accounts: make(map[string]bool),
	}
	return m, m.createInstruments()
}

// createInstruments creates the instruments for requests of callers.
func (m *Metrics) createInstruments() error {
	var err error
	m.requests, err = m.meter.Int64Counter("ferry.requests", metric.WithDescription("Requests by class, client account and result."))
	if err != nil {
		return err
	}
	m.firstToken, err = m.meter.Float64Histogram("ferry.first_token", metric.WithUnit("s"),
		metric.WithDescription("Time from a request's arrival to its first token."), metric.WithExplicitBucketBoundaries(firstTokenBounds...))
	if err != nil {
		return err
	}
	m.tokenGap, err = m.meter.Float64Histogram("ferry.token_gap", metric.WithUnit("s"),
		metric.WithDescription("Time between two tokens of one generation."), metric.WithExplicitBucketBoundaries(tokenGapBounds...))
	return err
}

// Handler returns the handler that serves the metrics in the text format of Prometheus.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Gauge is a value that is read whenever the metrics are read.
type Gauge struct {
	Name string // such as "ferry.streams"
	Doc  string
	Read func() float64
}

// AddGauge adds a gauge.
func (m *Metrics) AddGauge(g Gauge) error {
	_, err := m.meter.Float64ObservableGauge(g.Name, metric.WithDescription(g.Doc),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(g.Read())
			return nil
		}))
	return err
}

// RecordRequest counts a request with the given result.
func (m *Metrics) RecordRequest(class caller.Class, account, result string) {
	m.requests.Add(context.Background(), 1, m.attributes(class, account), metric.WithAttributes(attribute.String("result", result)))
}

// RecordFirstToken records the time to a first token.
func (m *Metrics) RecordFirstToken(class caller.Class, account string, d time.Duration) {
	m.firstToken.Record(context.Background(), d.Seconds(), m.attributes(class, account))
}

// RecordTokenGap records the time between two tokens.
func (m *Metrics) RecordTokenGap(class caller.Class, account string, d time.Duration) {
	m.tokenGap.Record(context.Background(), d.Seconds(), m.attributes(class, account))
}

// attributes returns the attributes of a class and account. For an account with separate series they come from the cache
// without the write lock.
func (m *Metrics) attributes(class caller.Class, account string) metric.MeasurementOption {
	m.mu.RLock()
	opt, ok := m.series[seriesKey{class, account}]
	m.mu.RUnlock()
	if ok {
		return opt
	}
	return m.addSeries(class, account)
}

func (m *Metrics) addSeries(class caller.Class, account string) metric.MeasurementOption {
	m.mu.Lock()
	defer m.mu.Unlock()
	name := account
	if !m.accounts[name] && len(m.accounts) >= MaxAccounts {
		name = OtherAccounts
	}
	key := seriesKey{class, name}
	opt, ok := m.series[key]
	if !ok {
		opt = metric.WithAttributeSet(attribute.NewSet(attribute.String("class", string(class)), attribute.String("account", name)))
		m.series[key] = opt
		if name != OtherAccounts {
			m.accounts[name] = true
		}
	}
	return opt
}
