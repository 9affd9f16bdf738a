// Command wigeonusher is the operators' tool.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/wigeonusher/wigeonusher/cmd/internal/tool"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := tool.Main(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(int(code))
}
