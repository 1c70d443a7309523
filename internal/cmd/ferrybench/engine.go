// This file defines the command that runs an emulated engine.

package ferrybench

import (
	"context"
	"fmt"
	"strings"
	"time"

	"ebonyferry/internal/core/bundle"
	fake "ebonyferry/internal/fake/engine"
	"ebonyferry/internal/run/command"
)

var _ = register("engine", "Run an emulated model engine until interrupted.", groupStandIns, &engineCmd{})

type engineCmd struct {
	listenFlag
	ID            string        `default:"engine" help:"Prefix of boot identities."`
	Memory        int           `default:"65536" help:"Size of the token memory in tokens."`
	Cache         int           `default:"16384" help:"Size of the prefix cache in tokens."`
	Batch         int           `default:"64" help:"Maximum number of streams in the batch."`
	Waiting       int           `default:"128" help:"Maximum number of streams that wait in the engine."`
	Step          time.Duration `default:"10ms" help:"Duration of a decode step without streams."`
	StepPerStream time.Duration `default:"250us" help:"Time added to a step for each stream."`
	PrefillToken  time.Duration `default:"20us" help:"Time added to a step for each prompt token computed."`
	ColdStreams   int           `help:"Capacity in streams right after the start; 0 starts the engine warm."`
	WarmUp        time.Duration `default:"30s" help:"Decode time until the engine is warm."`
	Grace         time.Duration `default:"200ms" help:"How long a cold engine can exceed its capacity before it crashes."`
	LoadLag       time.Duration `default:"1s" help:"Minimum age of load reports."`
	CacheDelay    time.Duration `default:"500ms" help:"Delay of cache events."`
	CacheGapEvery int           `help:"Omit each n-th cache event."`
	RestartAfter  time.Duration `default:"2s" help:"Time down after a crash."`
	Fencing       bool          `help:"Refuse orders with an old fencing number."`
	Model         []string      `placeholder:"MODEL@VERSION" help:"Version loaded at the start; without any, the engine accepts all."`
	LoadTime      time.Duration `default:"2s" help:"Time that an ordered load takes."`
	Bad           string        `enum:"none,fails,slows" default:"none" help:"Make a version bad: none, fails or slows."`
	BadModel      string        `placeholder:"MODEL@VERSION" help:"Which version is bad."`
	BadAfter      time.Duration `help:"Time after which the bad version shows its fault."`
	BadStreams    int           `help:"Number of streams from which the bad version shows its fault."`
	BadMark       string        `help:"Text that a prompt must contain for the bad version to show its fault."`
}

// Run runs the engine.
func (c *engineCmd) Run(ctx context.Context, out *command.Output) error {
	opts, err := c.options()
	if err != nil {
		return err
	}
	e := fake.New(opts...)
	addr, err := e.Listen(ctx, c.Listen)
	if err != nil {
		return err
	}
	return reportUntilDone(ctx, out, addr, func() any { return e.Counters() })
}

func (c *engineCmd) options() ([]fake.Option, error) {
	models, err := parseVersions(c.Model)
	if err != nil {
		return nil, err
	}
	opts := []fake.Option{
		fake.WithID(c.ID),
		fake.WithMemory(c.Memory, c.Cache),
		fake.WithBatch(c.Batch, c.Waiting),
		fake.WithStep(c.Step, c.StepPerStream, c.PrefillToken),
		fake.WithLoadLag(c.LoadLag),
		fake.WithCacheEvents(c.CacheDelay, c.CacheGapEvery),
		fake.WithRestartAfter(c.RestartAfter),
		fake.WithModels(c.LoadTime, models...),
	}
	if c.ColdStreams > 0 {
		opts = append(opts, fake.WithColdStart(c.ColdStreams, c.WarmUp, c.Grace))
	}
	if c.Fencing {
		opts = append(opts, fake.WithFencing())
	}
	if c.Bad == "none" {
		return opts, nil
	}
	bad, err := parseVersions([]string{c.BadModel})
	if err != nil {
		return nil, err
	}
	return append(opts, fake.WithBadVersions(fake.BadVersion{
		Version:    bad[0],
		Kind:       fake.BadKind(c.Bad),
		After:      c.BadAfter,
		MinStreams: c.BadStreams,
		Mark:       c.BadMark,
	})), nil
}

// parseVersions parses versions of the form MODEL@VERSION.
func parseVersions(names []string) ([]bundle.ModelVersion, error) {
	var models []bundle.ModelVersion
	for _, name := range names {
		model, version, ok := strings.Cut(name, "@")
		if !ok || model == "" || version == "" {
			return nil, fmt.Errorf("%q is not of the form MODEL@VERSION", name)
		}
		models = append(models, bundle.ModelVersion{Model: model, Version: version})
	}
	return models, nil
}

// Validate rejects a listen address that is not on loopback, and malformed versions.
func (c *engineCmd) Validate() error {
	if err := c.listenFlag.Validate(); err != nil {
		return err
	}
	_, err := c.options()
	return err
}
