// Package proptest runs rapid property tests with a fixed seed and number of cases, so
// that test runs are reproducible.
package proptest

import (
	"flag"
	"os"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// SeedVariable is the environment variable that overrides the seed of every check, to
// reproduce a failure or to search for new ones.
const SeedVariable = "JACKDAWLOOM_SEED"

// ChecksVariable is the environment variable that overrides the number of cases of
// every check.
const ChecksVariable = "JACKDAWLOOM_CHECKS"

// Check runs prop on the given number of cases, generated from the given seed. Tests
// that use it must not run in parallel, since rapid's flags are process-wide.
func Check(t *testing.T, seed uint64, checks int, prop func(*rapid.T)) {
	t.Helper()
	setFlag(t, "rapid.seed", envOr(SeedVariable, strconv.FormatUint(seed, 10)))
	setFlag(t, "rapid.checks", envOr(ChecksVariable, strconv.Itoa(checks)))
	setFlag(t, "rapid.nofailfile", "true")
	rapid.Check(t, prop)
}

func setFlag(t *testing.T, name, value string) {
	t.Helper()
	if err := flag.Set(name, value); err != nil {
		t.Fatalf("set %s: %v", name, err)
	}
}

func envOr(variable, value string) string {
	if v := os.Getenv(variable); v != "" {
		return v
	}
	return value
}
