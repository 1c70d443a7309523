// Package ebonyferry holds the commands of the program ebonyferry: the node, the demo and the offline checks.
package ebonyferry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"ebonyferry/internal/bench/demo"
	"github.com/apex/log"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/run/command"
	"ebonyferry/internal/run/exit"
	"ebonyferry/internal/run/logging"
	"ebonyferry/internal/run/serve"
	"ebonyferry/internal/run/settings"
)

const description = `Runs a node of ebonyferry, or the whole system as a demo.

Examples:

  ebonyferry demo --duration 30s --seed 7
  ebonyferry check --settings node.json
  ebonyferry serve --settings node.json

Exit codes: 0 done, 1 failed, 2 usage or a wrong file, 3 refused by the system, 4 timed out.`

// grammar is the command line.
type grammar struct {
	command.Flags
	Serve   serveCmd   `cmd:"" help:"Run a node until SIGTERM, then drain."`
	Demo    demoCmd    `cmd:"" help:"Run the whole path in one process on loopback."`
	Check   checkCmd   `cmd:"" help:"Check a settings file, a bundle or keys without a node."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

// Option changes the program.
type Option func(*grammar)

// WithPlatform builds the program with an adapter to a platform.
func WithPlatform(p serve.Platform) Option { return func(g *grammar) { g.Serve.platform = p } }

// Main runs ebonyferry with the given arguments.
func Main(ctx context.Context, args []string, out, errOut io.Writer, opts ...Option) exit.Code {
	g := new(grammar)
	for _, opt := range opts {
		opt(g)
	}
	return command.Run(ctx, "ebonyferry", description, g, args, out, errOut)
}

type serveCmd struct {
	Settings string `required:"" type:"path" placeholder:"FILE" help:"Settings, in JSON with comments."`

	platform serve.Platform // nil when the program was built without an adapter
}

// node is what serve runs: a node of the product's own protocols, or a gateway.
type node interface {
	Drain(ctx context.Context) error
	End()
	Wait() error
}

// Run runs a node. The first SIGTERM or interrupt drains it, the second ends running streams with an error
// that tells callers to resume elsewhere.
func (c *serveCmd) Run(ctx context.Context, out *command.Output) error {
	cfg, err := settings.Read(c.Settings)
	if err != nil {
		return exit.With(exit.Usage, err)
	}
	lines := logging.NewWriter(out.Out)
	defer lines.Close()
	logger, err := logging.New(lines, cfg.Log.Level, cfg.Log.Format)
	if err != nil {
		return exit.With(exit.Usage, err)
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	n, err := c.start(context.WithoutCancel(ctx), cfg, logger)
	if err != nil {
		return err
	}
	go drainOn(signals, n)
	return n.Wait()
}

func (c *serveCmd) start(ctx context.Context, cfg settings.Settings, logger log.Interface) (node, error) {
	if cfg.Platform.Protocol == settings.ProtocolOwn {
		return serve.Start(ctx, cfg, serve.WithLog(logger))
	}
	if c.platform == nil {
		return nil, exit.With(exit.Usage, errors.New("platform.speaks is adapter, and this program was built without one"))
	}
	g, err := serve.StartGateway(ctx, cfg, c.platform, serve.WithGatewayLog(logger))
	if err != nil {
		return nil, err
	}
	go c.reloadOnHangup(ctx, g, logger)
	return g, nil
}

// Reads the settings again at each SIGHUP. Settings with a fault are logged and change nothing.
func (c *serveCmd) reloadOnHangup(ctx context.Context, g *serve.Gateway, logger log.Interface) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		cfg, err := settings.Read(c.Settings)
		if err != nil {
			event.Log(logger, event.SettingsUnreadable, event.Fields{"cause": err.Error()})
			continue
		}
		g.Reload(cfg)
	}
}

// Drains the node at the first signal and ends its streams at the second.
func drainOn(signals <-chan os.Signal, n node) {
	<-signals
	go func() { _ = n.Drain(context.Background()) }() // Wait returns the same error
	<-signals
	n.End()
}

type demoCmd struct {
	Duration time.Duration `default:"20s" help:"How long requests arrive."`
	Seed     uint64        `default:"1" help:"Seed of all choices of the callers."`
	Rate     float64       `default:"30" help:"Requests a second."`
	Log      string        `enum:"off,info,debug" default:"off" help:"Logs of the nodes on standard error: off, info or debug."`
}

// Run runs the demo.
func (c *demoCmd) Run(ctx context.Context, out *command.Output) error {
	opts := demo.Options{Duration: c.Duration, Seed: c.Seed, Rate: c.Rate, Out: out.Out}
	if c.Duration <= 0 || c.Rate <= 0 {
		return exit.With(exit.Usage, errors.New("duration and rate must be above zero"))
	}
	if out.Format == command.FormatJSON {
		opts.Out = out.Err
	}
	if c.Log != "off" {
		logger, err := logging.New(out.Err, c.Log, "text")
		if err != nil {
			return err
		}
		opts.Log = logger
	}
	result, err := demo.Run(ctx, opts)
	if err != nil {
		return err
	}
	return out.Report(result, func(io.Writer) error { return nil })
}

type checkCmd struct {
	Settings string `type:"path" placeholder:"FILE" help:"Settings of a node."`
	Bundle   string `type:"path" placeholder:"FILE" help:"Bundle."`
	Keys     string `type:"path" placeholder:"FILE" help:"Keys, as ferryctl bootstrap takes them."`
}

// Help shows examples.
func (checkCmd) Help() string {
	return `Examples:

  ebonyferry check --settings node.json
  ebonyferry check --bundle bundle.json --keys keys.json

Every fault is named with its field and line.`
}

// checked is the report of check.
type checked struct {
	Files []string `json:"files"`
}

// Run checks the named files and reports the faults of all.
func (c *checkCmd) Run(_ context.Context, out *command.Output) error {
	checks := []struct {
		path  string
		parse func([]byte) error
	}{
		{c.Settings, func(data []byte) error { _, err := settings.Parse(data); return err }},
		{c.Bundle, func(data []byte) error { _, err := bundle.Parse(data); return err }},
		{c.Keys, func(data []byte) error { _, err := bundle.ParseKeys(data); return err }},
	}
	var done checked
	var faults []error
	for _, check := range checks {
		if check.path == "" {
			continue
		}
		done.Files = append(done.Files, check.path)
		data, err := os.ReadFile(check.path)
		if err == nil {
			err = check.parse(data)
		}
		if err != nil {
			faults = append(faults, fmt.Errorf("%s:\n%w", check.path, err))
		}
	}
	if len(done.Files) == 0 {
		return exit.With(exit.Usage, errors.New("no file is given: use --settings, --bundle or --keys"))
	}
	if err := errors.Join(faults...); err != nil {
		return exit.With(exit.Usage, err)
	}
	return out.Report(done, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "%d files without fault\n", len(done.Files))
		return err
	})
}

type versionCmd struct{}

// version is the report of version.
type version struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

// Run prints the version that the program was built from.
func (*versionCmd) Run(_ context.Context, out *command.Output) error {
	v := version{Version: "unknown"}
	if info, ok := debug.ReadBuildInfo(); ok {
		v = version{Version: info.Main.Version, Go: info.GoVersion}
	}
	return out.Report(v, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "ebonyferry %s, built with %s\n", v.Version, v.Go)
		return err
	})
}
