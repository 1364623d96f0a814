// Package e2e holds end-to-end tests. They run the daemons, a simulated store and
// simulated targets as separate processes on loopback addresses, and send them real
// signals.
package e2e
