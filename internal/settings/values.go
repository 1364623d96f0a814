package settings

import (
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Maximum lengths of lists.
const (
	maxSeeds = 64
	maxURLs  = 16
)

const nameFormat = "1 to 63 of a-z, 0-9, '.', '_' and '-', with a letter or digit at both ends"

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

type setter = func(*Settings, string) error

func nameSetter(field func(*Settings) *string) setter {
	return func(s *Settings, value string) error {
		if !namePattern.MatchString(value) {
			return fmt.Errorf("%q is not a valid name", value)
		}
		*field(s) = value
		return nil
	}
}

func fileSetter(field func(*Settings) *string) setter {
	return func(s *Settings, value string) error {
		if strings.ContainsRune(value, 0) {
			return fmt.Errorf("%q is not a file name", value)
		}
		*field(s) = value
		return nil
	}
}

func setLogLevel(s *Settings, value string) error {
	levels := map[string]slog.Level{
		"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError,
	}
	level, ok := levels[value]
	if !ok {
		return fmt.Errorf("unknown level %q", value)
	}
	s.Daemon.LogLevel = level
	return nil
}

func setLogFormat(s *Settings, value string) error {
	switch f := LogFormat(value); f {
	case LogText, LogJSON:
		s.Daemon.LogFormat = f
		return nil
	}
	return fmt.Errorf("unknown format %q", value)
}

func durationFormat(lower, upper time.Duration) string {
	return fmt.Sprintf("duration such as 500ms or 2s, %s to %s", formatDuration(lower), formatDuration(upper))
}

// formatDuration formats a duration without trailing zero seconds: 10m, not 10m0s.
func formatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	return text
}

func durationSetter(lower, upper time.Duration, field func(*Settings) *time.Duration) setter {
	return func(s *Settings, value string) error {
		d, err := time.ParseDuration(value)
		if err != nil {
			return fmt.Errorf("%q is not a duration", value)
		}
		if d < lower || d > upper {
			return fmt.Errorf("%s is out of range", value)
		}
		*field(s) = d
		return nil
	}
}

func sizeFormat(lower, upper int64) string {
	return fmt.Sprintf("bytes, or a number with KiB, MiB or GiB, %s to %s", formatSize(lower), formatSize(upper))
}

var sizeUnits = []struct {
	name  string
	bytes int64
}{{"GiB", gib}, {"MiB", mib}, {"KiB", kib}}

func formatSize(n int64) string {
	for _, u := range sizeUnits {
		if n >= u.bytes && n%u.bytes == 0 {
			return fmt.Sprintf("%d%s", n/u.bytes, u.name)
		}
	}
	return strconv.FormatInt(n, 10)
}

func parseSize(value string) (int64, error) {
	number, unit := value, int64(1)
	for _, u := range sizeUnits {
		if rest, ok := strings.CutSuffix(value, u.name); ok {
			number, unit = strings.TrimSpace(rest), u.bytes
			break
		}
	}
	n, err := strconv.ParseInt(number, 10, 32)
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return 0, fmt.Errorf("%q is not a size", value)
	}
	return n * unit, nil // cannot overflow: at most 2^31 GiB
}

func sizeSetter(lower, upper int64, field func(*Settings) *int64) setter {
	return func(s *Settings, value string) error {
		n, err := parseSize(value)
		if err != nil {
			return err
		}
		if n < lower || n > upper {
			return fmt.Errorf("%s is out of range", value)
		}
		*field(s) = n
		return nil
	}
}

func parseAddress(value string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		return a, fmt.Errorf("%q is not ip:port", value)
	}
	if a.Port() == 0 || a.Addr().IsMulticast() {
		return a, fmt.Errorf("%q has port 0 or a multicast address", value)
	}
	return a, nil
}

// parseDialAddress parses an address that other processes dial.
func parseDialAddress(value string) (netip.AddrPort, error) {
	a, err := parseAddress(value)
	if err == nil && a.Addr().IsUnspecified() {
		err = fmt.Errorf("%q is the unspecified address; other daemons cannot dial it", value)
	}
	return a, err
}

func setListenCaller(s *Settings, value string) (err error) {
	s.Listen.Caller, err = parseAddress(value)
	return err
}

func setListenPeer(s *Settings, value string) (err error) {
	s.Listen.Peer, err = parseDialAddress(value)
	return err
}

func setListenAdmin(s *Settings, value string) (err error) {
	s.Listen.Admin, err = parseDialAddress(value)
	return err
}

// splitList splits a comma-separated value and trims its entries.
func splitList(value string, maxEntries int) ([]string, error) {
	if strings.TrimSpace(value) == "" {
		return nil, nil
	}
	parts := strings.Split(value, ",")
	if len(parts) > maxEntries {
		return nil, fmt.Errorf("%d entries; expected at most %d", len(parts), maxEntries)
	}
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts, nil
}

func setSeeds(s *Settings, value string) error {
	parts, err := splitList(value, maxSeeds)
	if err != nil {
		return err
	}
	var errs []error
	for _, p := range parts {
		a, err := parseDialAddress(p)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		s.Peers.Seeds = append(s.Peers.Seeds, a)
	}
	return errors.Join(errs...)
}

// parseURL parses the address of a platform service: plain HTTP at an IP address.
func parseURL(value string) (string, error) {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" || u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		return "", fmt.Errorf("%q is not http://ip:port", value)
	}
	if _, err := parseDialAddress(u.Host); err != nil {
		return "", fmt.Errorf("%q is not http://ip:port", value)
	}
	return strings.TrimSuffix(value, "/"), nil
}

func setStoreURLs(s *Settings, value string) error {
	parts, err := splitList(value, maxURLs)
	if err != nil {
		return err
	}
	var errs []error
	for _, p := range parts {
		u, err := parseURL(p)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		s.Store.URLs = append(s.Store.URLs, u)
	}
	return errors.Join(errs...)
}

func setStoreEmbedded(s *Settings, value string) error {
	switch value {
	case "true":
		s.Store.Embedded = true
	case "false":
		s.Store.Embedded = false
	default:
		return fmt.Errorf("%q is not true or false", value)
	}
	return nil
}
