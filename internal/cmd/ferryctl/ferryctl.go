// Package ferryctl implements the commands of the program ferryctl, the operators' client.
package ferryctl

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"ebonyferry/internal/edge/operator"
	"ebonyferry/internal/run/certs"
	"ebonyferry/internal/run/command"
	"ebonyferry/internal/run/exit"
)

const description = `Operates ebonyferry: bundles, service marks of failure domains and VMs, rollouts, keys.

The node addresses and the operator come from flags or from the environment:

  export FERRY_NODES=10.0.0.1:7800,10.0.0.2:7800 FERRY_OPERATOR=ana FERRY_KEY=~/.ferry/ana.key

Examples:

  ferryctl keygen --out ~/.ferry/ana.key
  ferryctl bundle create bundle.json
  ferryctl bundle diff inForce 3f2a
  ferryctl bundle sign-off 3f2a
  ferryctl bundle roll-forward 3f2a --wait
  ferryctl domain out neng-b --wait
  ferryctl status

Nodes are tried in turn. A change whose answer was lost is sent again and takes effect only once.

Exit codes: 0 done, 1 failed, 2 wrong usage or an invalid file, 3 refused by the system, 4 timed out.`

// grammar is the command line.
type grammar struct {
	command.Flags
	connection

	Bundle     bundleCmds     `cmd:"" help:"Create, check, sign off and switch bundles."`
	Domain     domainCmds     `cmd:"" help:"Take failure domains out of and into service."`
	VM         vmCmds         `cmd:"" name:"vm" help:"Take entry VMs out of and into service."`
	Server     serverCmds     `cmd:"" help:"Take backend servers out of and into service."`
	Rollout    rolloutCmds    `cmd:"" help:"Follow rollouts, take them back, or finish them."`
	Keys       keysCmds       `cmd:"" help:"Create, rotate and revoke keys of accounts, operators and resume tokens."`
	Quarantine quarantineCmds `cmd:"" help:"Requests that are refused because they crash servers."`
	History    historyCmd     `cmd:"" help:"Show who changed what, latest first."`
	Status     statusCmd      `cmd:"" help:"Show what is in force on each node, and running work by failure domain."`
	Top        topCmd         `cmd:"" help:"Show the status repeatedly."`
	Explain    explainCmd     `cmd:"" help:"Explain from log files how a request ended, and why."`
	Keygen     keygenCmd      `cmd:"" help:"Create an operator's key pair."`
	Bootstrap  bootstrapCmd   `cmd:"" help:"Write the first bundle and keys into an empty store."`
}

// Main runs ferryctl with the given arguments.
func Main(ctx context.Context, args []string, out, errOut io.Writer) exit.Code {
	g := new(grammar)
	return command.Run(ctx, "ferryctl", description, g, args, out, errOut, kong.Bind(&g.connection))
}

// connection holds the flags that say which nodes to call and as which operator.
type connection struct {
	Nodes    []netip.AddrPort `env:"FERRY_NODES" placeholder:"IP:PORT" help:"Addresses of nodes, tried in turn."`
	Operator string           `env:"FERRY_OPERATOR" placeholder:"NAME" help:"Operator to act as."`
	Key      string           `env:"FERRY_KEY" type:"path" placeholder:"FILE" help:"File with the operator's private key."`
	CAFile   string           `env:"FERRY_CA" name:"ca-file" type:"path" placeholder:"FILE" help:"CA certificates that the nodes' certificates are verified against, in PEM. Enables TLS."`
	Timeout  time.Duration    `default:"10s" help:"How long one node may take to answer. The time that a large document needs on a line of 128 kbit/s is added."`
}

// client returns a client for the nodes, or a usage error that names the missing flag.
func (c *connection) client() (*operator.Client, error) {
	switch {
	case len(c.Nodes) == 0:
		return nil, usagef("no node is given: use --nodes or set FERRY_NODES")
	case c.Operator == "":
		return nil, usagef("no operator is given: use --operator or set FERRY_OPERATOR")
	case c.Key == "":
		return nil, usagef("no key is given: use --key or set FERRY_KEY")
	}
	text, err := os.ReadFile(c.Key)
	if err != nil {
		return nil, usagef("reading the key: %w", err)
	}
	key, err := decodePrivateKey(text)
	if err != nil {
		return nil, usagef("reading the key %s: %w", c.Key, err)
	}
	opts := []operator.ClientOption{operator.WithTimeout(c.Timeout)}
	if c.CAFile != "" {
		pool, err := certs.LoadPool(c.CAFile)
		if err != nil {
			return nil, usagef("reading the CA certificates: %w", err)
		}
		transport := &http.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool}}
		opts = append(opts, operator.WithHTTPClient(&http.Client{Transport: transport}, "https"))
	}
	return operator.NewClient(c.Nodes, c.Operator, key, opts...), nil
}

// withExitCode returns a client's error with the exit code that it stands for.
func withExitCode(err error) error {
	var f *operator.Failure
	switch {
	case err == nil:
		return nil
	case errors.As(err, &f) && f.Code == operator.CodeInvalid:
		return exit.With(exit.Usage, err)
	case errors.As(err, &f) && f.Code == operator.CodeInternal:
		return exit.With(exit.Failed, err)
	case errors.As(err, &f) && f.Code == operator.CodeOutcomeUnknown:
		return exit.With(exit.TimedOut, err)
	case errors.As(err, &f):
		return exit.With(exit.Refused, err)
	case errors.Is(err, context.DeadlineExceeded):
		return exit.With(exit.TimedOut, err)
	}
	return fmt.Errorf("calling the nodes: %w", err)
}

// usagef returns an error in the command line or in a file named there.
func usagef(format string, args ...any) error {
	return exit.With(exit.Usage, fmt.Errorf(format, args...))
}
