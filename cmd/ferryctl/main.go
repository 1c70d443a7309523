// Command ferryctl is the operators' client.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"ebonyferry/internal/cmd/ferryctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ferryctl.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(int(code))
}
