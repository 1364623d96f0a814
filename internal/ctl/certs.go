package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"github.com/jackdawloom/jackdawloom/internal/pki"
)

const flagDir = "dir"

func certsCommand() *cli.Command {
	return &cli.Command{
		Name:      "certs",
		Usage:     "create a certificate authority and daemon certificates for a trial",
		ArgsUsage: "--dir DIR ID...",
		Description: `Writes ca.pem, and ID.pem with ID.key for each daemon. The authority's key is not
saved, so further daemons need a new set. Use your own authority in production;
every daemon's certificate must carry the DNS name ` + pki.ServerName + `.

Example:
   jackdawctl certs --dir tls loom-1 loom-2 loom-3`,
		Flags:  []cli.Flag{&cli.StringFlag{Name: flagDir, Required: true, Usage: "write the files to `DIR`"}},
		Action: createCerts,
	}
}

// errCertsExist is returned when the directory already contains a certificate authority.
var errCertsExist = errors.New("the file already exists; nothing was written")

func createCerts(_ context.Context, cmd *cli.Command) error {
	ids := cmd.Args().Slice()
	if len(ids) == 0 {
		return usageError("expected at least one daemon id")
	}
	for _, id := range ids {
		if id == "" || id == "ca" || filepath.Base(id) != id || id == "." || id == ".." {
			return usageError(fmt.Sprintf("%q is not a valid daemon id; expected a plain file name other than ca", id))
		}
	}
	dir := cmd.String(flagDir)
	if err := ensureNoAuthority(filepath.Join(dir, "ca.pem")); err != nil {
		return err
	}
	authority, err := pki.NewAuthority()
	if err == nil {
		err = authority.WriteFiles(dir, ids...)
	}
	if err != nil {
		return fileWriteError(err)
	}
	return emit(cmd, certFiles(dir, ids), func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "wrote %s and certificates for %d daemons\n", filepath.Join(dir, "ca.pem"), len(ids))
		return err
	})
}

// ensureNoAuthority returns an error if the file ca exists. Replacing an authority in use
// would keep its daemons from trusting the new ones.
func ensureNoAuthority(ca string) error {
	_, err := os.Stat(ca)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err == nil {
		err = errCertsExist
	}
	return &CommandError{Code: ExitFailed, Problem: ca, Cause: err, Remedy: "name another --dir, or remove the old files first"}
}

// certFileSet is the JSON result of certs: the names of the files written.
type certFileSet struct {
	CA      string     `json:"ca"`
	Daemons []certPair `json:"daemons"`
}

type certPair struct {
	ID          string `json:"id"`
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

func certFiles(dir string, ids []string) certFileSet {
	out := certFileSet{CA: filepath.Join(dir, "ca.pem")}
	for _, id := range ids {
		out.Daemons = append(out.Daemons, certPair{
			ID: id, Certificate: filepath.Join(dir, id+".pem"), Key: filepath.Join(dir, id+".key"),
		})
	}
	return out
}
