// Command ferrybench runs stand-ins for outside systems, load and experiments.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"ebonyferry/internal/cmd/ferrybench"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ferrybench.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(int(code))
}
