// Package ebonyferry implements the commands of the program ebonyferry: the node, the demo and the offline checks.
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

Exit codes: 0 done, 1 failed, 2 wrong usage or an invalid file, 3 refused by the system, 4 timed out.`

// grammar is the command line.
type grammar struct {
	command.Flags
	Serve   serveCmd   `cmd:"" help:"Run a node until SIGTERM, then drain."`
	Demo    demoCmd    `cmd:"" help:"Run the whole system in one process on loopback."`
	Check   checkCmd   `cmd:"" help:"Check a settings file, a bundle or keys without a node."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

// Option configures the program.
type Option func(*grammar)

// WithPlatform sets the adapter to a platform. Without it, nodes run on the product's own protocols only.
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
	Settings   string `required:"" type:"path" placeholder:"FILE" help:"Settings, in JSON with comments."`
	FirstStart string `env:"FERRY_FIRST_START" placeholder:"true" help:"true if the whole fleet starts for the first time, so that no earlier process has used its share of the retries. Otherwise a node in front of a platform's servers uses the slack of the retry budget after 1.2 windows."`

	Duties string `env:"FERRY_DUTIES" placeholder:"FIELD=VALUE ..." help:"Duties in place of those in the settings, as words FIELD=VALUE of the settings' section duties. Without addr=IP:PORT it changes nothing."`

	platform serve.Platform // nil if the program was built without an adapter
}

// node is what serve runs: a node that uses the product's own protocols, or a gateway.
type node interface {
	Drain(ctx context.Context) error
	End()
	Wait() error
}

// Run runs a node. The first SIGTERM or interrupt drains it. The second ends running streams with an error that asks
// callers to resume at another node.
func (c *serveCmd) Run(ctx context.Context, out *command.Output) error {
	cfg, err := settings.Read(c.Settings)
	if err != nil {
		return exit.With(exit.Usage, err)
	}
	if cfg, err = cfg.WithDuties(c.Duties); err != nil {
		return exit.With(exit.Usage, err)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(serve.MemoryLimit(cfg.Limits))
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
	go drainOnSignal(signals, n)
	return n.Wait()
}

func (c *serveCmd) start(ctx context.Context, cfg settings.Settings, logger log.Interface) (node, error) {
	if cfg.Platform.Protocol == settings.ProtocolOwn {
		return serve.Start(ctx, cfg, serve.WithLog(logger))
	}
	if c.platform == nil {
		return nil, exit.With(exit.Usage, errors.New("platform.speaks is adapter, and this program was built without one"))
	}
	opts := []serve.GatewayOption{serve.WithGatewayLog(logger)}
	if c.FirstStart == "true" {
		opts = append(opts, serve.WithFirstStart())
	}
	g, err := serve.StartGateway(ctx, cfg, c.platform, opts...)
	if err != nil {
		return nil, err
	}
	go c.reloadOnHangup(ctx, g, logger)
	return g, nil
}

// reloadOnHangup reads the settings again at each SIGHUP. If they are invalid, it logs the problems and changes nothing.
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

// drainOnSignal drains the node at the first signal and ends its streams at the second.
func drainOnSignal(signals <-chan os.Signal, n node) {
	<-signals
	go func() { _ = n.Drain(context.Background()) }() // Wait returns the same error
	<-signals
	n.End()
}

type demoCmd struct {
	Duration time.Duration `default:"20s" help:"How long requests arrive."`
	Seed     uint64        `default:"1" help:"Seed of all random choices of the callers."`
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
	Settings string `type:"path" placeholder:"FILE" help:"Settings file of a node."`
	Bundle   string `type:"path" placeholder:"FILE" help:"Bundle file."`
	Keys     string `type:"path" placeholder:"FILE" help:"Keys file, as ferryctl bootstrap reads it."`
}

// Help shows examples.
func (checkCmd) Help() string {
	return `Examples:

  ebonyferry check --settings node.json
  ebonyferry check --bundle bundle.json --keys keys.json

Every problem is reported with its field and line.`
}

// checkReport is the output of check.
type checkReport struct {
	Files []string `json:"files"`
}

// Run checks the given files and reports the problems of all of them.
func (c *checkCmd) Run(_ context.Context, out *command.Output) error {
	checks := []struct {
		path  string
		parse func([]byte) error
	}{
		{c.Settings, func(data []byte) error { _, err := settings.Parse(data); return err }},
		{c.Bundle, func(data []byte) error { _, err := bundle.Parse(data); return err }},
		{c.Keys, func(data []byte) error { _, err := bundle.ParseKeys(data); return err }},
	}
	var report checkReport
	var problems []error
	for _, check := range checks {
		if check.path == "" {
			continue
		}
		report.Files = append(report.Files, check.path)
		data, err := os.ReadFile(check.path)
		if err == nil {
			err = check.parse(data)
		}
		if err != nil {
			problems = append(problems, fmt.Errorf("%s:\n%w", check.path, err))
		}
	}
	if len(report.Files) == 0 {
		return exit.With(exit.Usage, errors.New("no file is given: use --settings, --bundle or --keys"))
	}
	if err := errors.Join(problems...); err != nil {
		return exit.With(exit.Usage, err)
	}
	return out.Report(report, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "%d files without fault\n", len(report.Files))
		return err
	})
}

type versionCmd struct{}

// versionReport is the output of version.
type versionReport struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

// Run prints the version of the program and the Go version that built it.
func (*versionCmd) Run(_ context.Context, out *command.Output) error {
	v := versionReport{Version: "unknown"}
	if info, ok := debug.ReadBuildInfo(); ok {
		v = versionReport{Version: info.Main.Version, Go: info.GoVersion}
	}
	return out.Report(v, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "ebonyferry %s, built with %s\n", v.Version, v.Go)
		return err
	})
}
