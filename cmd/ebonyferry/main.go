// Command ebonyferry runs a node, or the whole system as a demo.
package main

import (
	"context"
	"os"

	"ebonyferry/internal/cmd/ebonyferry"
)

func main() {
	os.Exit(int(ebonyferry.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr)))
}
