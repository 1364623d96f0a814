// Package proptest runs rapid property checks with a fixed seed and count, so
// that every run of the tests gives the same verdict.
package proptest

import (
	"flag"
	"os"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// SeedVariable is the environment variable that replaces the seed of every
// check, for reproducing a failure or searching for new ones.
const SeedVariable = "JACKDAWLOOM_SEED"

// ChecksVariable is the environment variable that replaces the number of cases.
const ChecksVariable = "JACKDAWLOOM_CHECKS"

// Check runs prop on the given number of generated cases from a fixed seed.
// Checks that use it must not run in parallel, since rapid's settings are
// process-wide.
func Check(t *testing.T, seed uint64, checks int, prop func(*rapid.T)) {
	t.Helper()
	set(t, "rapid.seed", override(SeedVariable, strconv.FormatUint(seed, 10)))
	set(t, "rapid.checks", override(ChecksVariable, strconv.Itoa(checks)))
	set(t, "rapid.nofailfile", "true")
	rapid.Check(t, prop)
}

func set(t *testing.T, name, value string) {
	t.Helper()
	if err := flag.Set(name, value); err != nil {
		t.Fatalf("set %s: %v", name, err)
	}
}

func override(variable, value string) string {
	if v := os.Getenv(variable); v != "" {
		return v
	}
	return value
}
