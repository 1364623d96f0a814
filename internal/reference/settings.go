package reference

import (
	"fmt"
	"strings"

	"github.com/jackdawloom/jackdawloom/internal/settings"
)

const settingsIntro = `## Settings

An INI file: ` + "`[section]`" + `, ` + "`key = value`" + `, comments after ` + "`#`" + ` or ` + "`;`" + `. A comment behind a
value needs a space before it. Values stand on one line. Relative names of TLS
files are taken from the directory of the settings file. Sizes are in bytes
unless they end in KiB, MiB or GiB. ` + "`examples/jackdawloomd.ini`" + ` is an example.

`

// combinations lists the rules between settings, which no single row shows.
const combinations = `Rules between settings:

- ` + "`store.embedded = true`" + ` excludes ` + "`store.urls`" + ` and ` + "`peers.seeds`" + `: two daemons with a
  store each would both own every key.
- All three TLS files are given, or, with an embedded store, none. They are read
  when the settings are loaded; files that cannot be used are reported together
  with all other problems.
- ` + "`listen.caller`" + ` and ` + "`listen.admin`" + ` do not share a port.
`

func writeSettings(b *strings.Builder) error {
	b.WriteString(settingsIntro)
	section := ""
	for _, o := range settings.Reference() {
		if o.Section != section {
			section = o.Section
			fmt.Fprintf(b, "### [%s]\n\n", section)
			head(b, "Key", "Meaning", "Unit", "Default", "Range", "Error")
		}
		text, err := settingError(o)
		if err != nil {
			return err
		}
		row(b, code(o.Key), o.Meaning, o.Unit, presetOf(o), o.Range, text)
		if last(o) {
			b.WriteString("\n")
		}
	}
	b.WriteString(combinations)
	return nil
}

func last(o settings.Option) bool {
	all := settings.Reference()
	for i := range all[:len(all)-1] {
		if all[i].Section == o.Section && all[i].Key == o.Key {
			return all[i+1].Section != o.Section
		}
	}
	return true
}

func presetOf(o settings.Option) string {
	switch {
	case o.Required:
		return "required"
	case o.Default == "":
		return "unset"
	}
	return code(o.Default)
}

// settingError returns what the parser answers to the example of a wrong value.
func settingError(o settings.Option) (string, error) {
	file := fmt.Sprintf("[%s]\n%s = %s\n", o.Section, o.Key, o.Wrong)
	_, err := settings.Parse("", []byte(file))
	text, err := problem(err, o.Section, o.Key)
	if err != nil {
		return "", err
	}
	return code(o.Key+" = "+o.Wrong) + ": " + text, nil
}
