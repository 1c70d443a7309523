package ferryctl

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/edge/operator"
	"ebonyferry/internal/run/command"
)

type keysCmds struct {
	List     keysList     `cmd:"" help:"Show the keys in force, without secrets."`
	Account  accountCmds  `cmd:"" help:"Client accounts and their keys."`
	Operator operatorCmds `cmd:"" help:"Operators and their keys."`
	Token    tokenCmds    `cmd:"" help:"Keys that sign resume tokens."`
	SignOffs keysSignOffs `cmd:"" help:"Set how many operators besides the author must sign off a bundle."`
}

type keysList struct{}

// Run lists keys.
func (c *keysList) Run(ctx context.Context, conn *connection, out *command.Output) error {
	return getAndReport(ctx, conn, out, "/keys", func(w io.Writer, k operator.KeysInfo) error {
		fmt.Fprintf(w, "keys revision %d, %d sign-offs by others needed\n", k.Revision, k.OtherSignOffs)
		tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintln(tw, "KIND\tNAME\tKEYS")
		for _, a := range k.Accounts {
			fmt.Fprintf(tw, "account\t%s\t%v\n", a.ID, a.Keys)
		}
		for _, op := range k.Operators {
			for _, key := range op.PublicKeys {
				fmt.Fprintf(tw, "operator\t%s\t%s\n", op.Name, base64.StdEncoding.EncodeToString(key))
			}
		}
		for _, t := range k.TokenKeys {
			use := "verifies"
			if t.Signs {
				use = "signs"
			}
			fmt.Fprintf(tw, "token\t%s\t%s until %s\n", t.ID, use, t.NotAfter.Format(time.RFC3339))
		}
		return tw.Flush()
	})
}

type accountCmds struct {
	Create accountCreate `cmd:"" help:"Create an account with a key, or change an account's limits."`
	Rotate accountRotate `cmd:"" help:"Add a key to an account; the old ones stay valid until they are revoked."`
	Revoke accountRevoke `cmd:"" help:"Revoke one key of an account."`
	Remove accountRemove `cmd:"" help:"Remove an account with all its keys."`
}

type operatorCmds struct {
	Add    operatorAdd    `cmd:"" help:"Add a key to an operator; creates the operator if it does not exist."`
	Revoke operatorRevoke `cmd:"" help:"Revoke a key of an operator; revoking the last one removes the operator."`
}

type tokenCmds struct {
	Rotate tokenRotate `cmd:"" help:"Sign resume tokens with a new key; tokens of the old keys are accepted for the overlap."`
	Revoke tokenRevoke `cmd:"" help:"Refuse, from now on, the tokens that a key signed."`
}

// keyReport is the output of a change of keys.
type keyReport struct {
	changeReport
	Key string `json:"key,omitempty"` // new bearer key, shown only in this output
}

// edit sends an edit of the keys and reports the result, with the new bearer key if there is one.
func (f *waitFlags) edit(ctx context.Context, conn *connection, out *command.Output, e bundle.KeyEdit, bearer string) error {
	change, err := f.send(ctx, conn, out, "/changes/keys", &operator.KeyChange{ChangeOptions: f.change(), Edit: e})
	if change.Head.Revision == 0 {
		return err
	}
	report := keyReport{changeReport: change, Key: bearer}
	return errors.Join(out.Report(report, func(w io.Writer) error {
		if bearer != "" {
			fmt.Fprintf(w, "key, shown only now: %s\n", bearer)
		}
		return change.text(w)
	}), err)
}

const bearerKeyBytes = 32

// newBearerKey returns a new bearer key. Only its hash is sent to a node.
func newBearerKey() string {
	b := make([]byte, bearerKeyBytes)
	rand.Read(b)
	return "ferry-" + hex.EncodeToString(b)
}

type accountCreate struct {
	waitFlags
	Name              string  `arg:"" help:"Account."`
	RequestsPerSecond float64 `help:"Limit over all nodes together; 0 means none."`
	TokensPerSecond   float64 `help:"Limit over all nodes together; 0 means none."`
	MaxStreams        int     `help:"Limit over all nodes together; 0 means none."`
	Weight            int     `help:"Share when accounts compete; 0 counts as 1."`
	NoKey             bool    `help:"Create no key, for example to change only the limits of an account."`
}

// Run creates an account.
func (c *accountCreate) Run(ctx context.Context, conn *connection, out *command.Output) error {
	limits := bundle.AccountLimits{RequestsPerSecond: c.RequestsPerSecond, TokensPerSecond: c.TokensPerSecond, MaxStreams: c.MaxStreams, Weight: c.Weight}
	edit := bundle.KeyEdit{Kind: bundle.SetAccount, Name: c.Name, Limits: &limits}
	bearer := ""
	if !c.NoKey {
		bearer = newBearerKey()
		edit.KeyHash = bundle.KeyHash(bearer)
	}
	return c.edit(ctx, conn, out, edit, bearer)
}

type accountRotate struct {
	waitFlags
	Name string `arg:"" help:"Account."`
}

// Help shows examples.
func (accountRotate) Help() string {
	return `Examples:

  ferryctl keys account rotate shop-17 --wait
  ferryctl keys list
  ferryctl keys account revoke shop-17 0a1b2c3d --wait

Both keys are accepted until the old one is revoked.`
}

// Run adds a key.
func (c *accountRotate) Run(ctx context.Context, conn *connection, out *command.Output) error {
	bearer := newBearerKey()
	return c.edit(ctx, conn, out, bundle.KeyEdit{Kind: bundle.AddAccountKey, Name: c.Name, KeyHash: bundle.KeyHash(bearer)}, bearer)
}

type accountRevoke struct {
	waitFlags
	Name string `arg:"" help:"Account."`
	Hash string `arg:"" help:"First characters of the key's hash, as keys list shows it."`
}

// Run revokes a key.
func (c *accountRevoke) Run(ctx context.Context, conn *connection, out *command.Output) error {
	return c.edit(ctx, conn, out, bundle.KeyEdit{Kind: bundle.RevokeAccountKey, Name: c.Name, KeyHash: c.Hash}, "")
}

type accountRemove struct {
	waitFlags
	Name string `arg:"" help:"Account."`
}

// Run removes an account.
func (c *accountRemove) Run(ctx context.Context, conn *connection, out *command.Output) error {
	return c.edit(ctx, conn, out, bundle.KeyEdit{Kind: bundle.RemoveAccount, Name: c.Name}, "")
}

// signOffFlags are the flags of edits that change who may sign off bundles. Such edits may need sign-offs themselves.
type signOffFlags struct {
	waitFlags
	SignOff bool `help:"Sign off another operator's edit instead of making one; give the same arguments."`
}

// editOrSign makes an edit, or signs it off if the flag says so.
func (f *signOffFlags) editOrSign(ctx context.Context, conn *connection, out *command.Output, e bundle.KeyEdit) error {
	if !f.SignOff {
		return f.edit(ctx, conn, out, e, "")
	}
	client, err := conn.client()
	if err != nil {
		return err
	}
	keys, err := operator.Get[operator.KeysInfo](ctx, client, "/keys")
	if err != nil {
		return withExitCode(err)
	}
	subject := bundle.SignOffSubject{BundleID: e.ID(), Since: keys.Revision}
	so, err := operator.Post[bundle.SignOff](ctx, client, "/keys/signoffs", bundle.Sign(client.Operator(), client.Key(), subject))
	if err != nil {
		return withExitCode(err)
	}
	return out.Report(so, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "signed off for keys revision %d: %s\n", keys.Revision, e.Summary())
		return err
	})
}

// operatorKeyFlags names an operator's key.
type operatorKeyFlags struct {
	signOffFlags
	Name      string `arg:"" help:"Operator."`
	PublicKey string `required:"" placeholder:"BASE64" help:"Public key as keygen prints it."`
}

func (c *operatorKeyFlags) run(ctx context.Context, conn *connection, out *command.Output, kind bundle.KeyEditKind) error {
	key, err := decodePublicKey(c.PublicKey)
	if err != nil {
		return err
	}
	return c.editOrSign(ctx, conn, out, bundle.KeyEdit{Kind: kind, Name: c.Name, PublicKey: key})
}

type (
	operatorAdd    struct{ operatorKeyFlags }
	operatorRevoke struct{ operatorKeyFlags }
)

// Help shows examples.
func (operatorAdd) Help() string {
	return `Examples:

  ferryctl keys operator add cay --public-key BASE64

When bundles need sign-offs by other operators, so does this command. The others first run it with --sign-off and
the same arguments:

  ferryctl keys operator add cay --public-key BASE64 --sign-off`
}

// Run adds an operator's key.
func (c *operatorAdd) Run(ctx context.Context, conn *connection, out *command.Output) error {
	return c.run(ctx, conn, out, bundle.AddOperatorKey)
}

// Run revokes an operator's key.
func (c *operatorRevoke) Run(ctx context.Context, conn *connection, out *command.Output) error {
	return c.run(ctx, conn, out, bundle.RevokeOperatorKey)
}

type tokenRotate struct {
	waitFlags
	Name     string        `arg:"" help:"Name of the new key."`
	Lifetime time.Duration `default:"2160h" help:"How long the new key is accepted."`
	Overlap  time.Duration `default:"24h" help:"How long tokens signed by the old keys are accepted."`
}

// Help shows examples.
func (tokenRotate) Help() string {
	return `Examples:

  ferryctl keys token rotate 2026-05 --overlap 24h

The new key first only verifies tokens. It signs tokens once every node has it, so no node receives a token that
it cannot verify.`
}

// Run adds the new key, waits until every node can verify with it, and then lets it sign.
func (c *tokenRotate) Run(ctx context.Context, conn *connection, out *command.Output) error {
	c.Wait = true
	add := bundle.KeyEdit{Kind: bundle.AddTokenKey, Name: c.Name, Lifetime: c.Lifetime}
	if err := c.edit(ctx, conn, out, add, ""); err != nil {
		return err
	}
	c.IfRevision = 0
	return c.edit(ctx, conn, out, bundle.KeyEdit{Kind: bundle.PromoteTokenKey, Name: c.Name, Overlap: c.Overlap}, "")
}

type tokenRevoke struct {
	waitFlags
	Name string `arg:"" help:"Name of the key."`
}

// Run revokes a token key.
func (c *tokenRevoke) Run(ctx context.Context, conn *connection, out *command.Output) error {
	return c.edit(ctx, conn, out, bundle.KeyEdit{Kind: bundle.RevokeTokenKey, Name: c.Name}, "")
}

type keysSignOffs struct {
	signOffFlags
	Others int `arg:"" help:"Operators besides the author; 0 requires one sign-off by any operator."`
}

// Run sets the number of sign-offs.
func (c *keysSignOffs) Run(ctx context.Context, conn *connection, out *command.Output) error {
	return c.editOrSign(ctx, conn, out, bundle.KeyEdit{Kind: bundle.SetOtherSignOffs, OtherSignOffs: c.Others})
}
