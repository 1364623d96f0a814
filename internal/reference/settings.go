package reference

import (
	"fmt"
	"strings"

	"github.com/jackdawloom/jackdawloom/internal/settings"
)

const settingsIntro = `## Settings

An INI file: ` + "`[section]`" + `, ` + "`key = value`" + `, comments after ` + "`#`" + ` or ` + "`;`" + `. A comment after a
value must be preceded by a space. A value cannot span several lines. Relative names
of TLS files are resolved against the directory of the settings file. Sizes are in
bytes unless they end in KiB, MiB or GiB. ` + "`examples/jackdawloomd.ini`" + ` is an example.

`

// settingsRules documents the constraints between settings, which the rows of single
// settings do not show.
const settingsRules = `Rules between settings:

- ` + "`store.embedded = true`" + ` excludes ` + "`store.urls`" + ` and ` + "`peers.seeds`" + `: two daemons, each
  with a store of its own, would both own every key.
- All three TLS files must be given; with an embedded store they may all be omitted.
  They are read when the settings are loaded. Files that cannot be used are reported
  together with all other problems.
- ` + "`listen.caller`" + ` and ` + "`listen.admin`" + ` must not share a port.
`

func writeSettings(b *strings.Builder) error {
	b.WriteString(settingsIntro)
	section := ""
	for _, o := range settings.Reference() {
		if o.Section != section {
			section = o.Section
			fmt.Fprintf(b, "### [%s]\n\n", section)
			tableHeader(b, "Key", "Meaning", "Unit", "Default", "Range", "Error")
		}
		text, err := settingErrorExample(o)
		if err != nil {
			return err
		}
		tableRow(b, code(o.Key), o.Description, o.Unit, defaultOf(o), o.Range, text)
		if isLastInSection(o) {
			b.WriteString("\n")
		}
	}
	b.WriteString(settingsRules)
	return nil
}

func isLastInSection(o settings.Option) bool {
	all := settings.Reference()
	for i := range all[:len(all)-1] {
		if all[i].Section == o.Section && all[i].Key == o.Key {
			return all[i+1].Section != o.Section
		}
	}
	return true
}

func defaultOf(o settings.Option) string {
	switch {
	case o.Required:
		return "required"
	case o.Default == "":
		return "unset"
	}
	return code(o.Default)
}

// settingErrorExample returns the invalid example with the error that the parser
// reports for it.
func settingErrorExample(o settings.Option) (string, error) {
	file := fmt.Sprintf("[%s]\n%s = %s\n", o.Section, o.Key, o.InvalidExample)
	_, err := settings.Parse("", []byte(file))
	text, err := findProblem(err, o.Section, o.Key)
	if err != nil {
		return "", err
	}
	return code(o.Key+" = "+o.InvalidExample) + ": " + text, nil
}
