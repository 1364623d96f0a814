// Command jackdawctl is the operators' tool of the router.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/jackdawloom/jackdawloom/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Run(ctx, os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
