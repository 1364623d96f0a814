// Package e2e holds tests that run the router as separate processes: a
// stand-in store, stand-in targets and daemons on loopback addresses, with real
// signals.
package e2e
