// Command gen writes docs/configuration.md. It is run by go generate in the directory
// of package reference.
package main

import (
	"bytes"
	"fmt"
	"os"

	"github.com/jackdawloom/jackdawloom/internal/reference"
)

// fileMode is the mode of non-executable files in the repository.
const fileMode = 0o644

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "gen:", err)
		os.Exit(1)
	}
}

func run() error {
	var b bytes.Buffer
	if err := reference.Write(&b); err != nil {
		return err
	}
	return os.WriteFile(reference.File, b.Bytes(), fileMode)
}
