package ferryctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/edge/document"
	"ebonyferry/internal/edge/kvstore"
	"ebonyferry/internal/edge/operator"
	"ebonyferry/internal/run/command"
	"ebonyferry/internal/run/exit"
)

type bootstrapCmd struct {
	Store  []netip.AddrPort `required:"" placeholder:"IP:PORT" help:"Addresses of the platform's key-value service."`
	Bundle string           `required:"" type:"existingfile" help:"First bundle, in JSON with comments."`
	Keys   string           `required:"" type:"existingfile" help:"First accounts, operators and token keys, in JSON with comments."`
}

// Help shows examples.
func (bootstrapCmd) Help() string {
	return `Examples:

  ferryctl bootstrap --store 10.0.0.9:2379 --bundle bundle.json --keys keys.json --operator ana

This is the only command that writes to the store directly, because no node has operators' keys before it. It
refuses a store that already holds a configuration.`
}

// Run writes the first configuration to an empty store.
func (c *bootstrapCmd) Run(ctx context.Context, conn *connection, out *command.Output) error {
	b, err := readDocument(c.Bundle, bundle.Parse)
	if err != nil {
		return err
	}
	k, err := readDocument(c.Keys, bundle.ParseKeys)
	if err != nil {
		return err
	}
	if conn.Operator == "" {
		return usagef("no operator is given: use --operator or set FERRY_OPERATOR")
	}
	b.Author = conn.Operator
	ctx, cancel := context.WithTimeout(ctx, conn.Timeout)
	defer cancel()
	req := bundle.ChangeRequest{By: conn.Operator, Nonce: operator.NewNonce(), At: time.Now().UTC()}
	in, err := document.Bootstrap(ctx, kvstore.New(c.Store), b, k, req)
	var race *document.RaceError
	if errors.As(err, &race) {
		return exit.With(exit.Refused, err)
	}
	if err != nil {
		return fmt.Errorf("writing the first configuration: %w", err)
	}
	report := changeReport{Head: in.Head}
	return out.Report(report, func(w io.Writer) error { return report.text(w) })
}

// readDocument parses the file at path. Its errors are usage errors.
func readDocument[T any](path string, parse func([]byte) (T, error)) (T, error) {
	var zero T
	text, err := os.ReadFile(path)
	if err != nil {
		return zero, usagef("reading %s: %w", path, err)
	}
	doc, err := parse(text)
	if err != nil {
		return zero, usagef("%s is not valid:\n%w", path, err)
	}
	return doc, nil
}
