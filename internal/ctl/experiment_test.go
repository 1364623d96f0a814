package ctl

import "testing"

// Guards against tables made from too few seeds or for a deployment that does not exist.
func TestExperimentRejectsWrongUsage(t *testing.T) {
	runCommand("experiment", "--seeds", "4").want(t, ExitUsage, "at least 5")
	runCommand("experiment", "--deployment", "other").want(t, ExitUsage, "muscat, perinka or all")
}
