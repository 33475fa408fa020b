package settings

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	neturl "net/url"
	"regexp"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

const maxNameBytes = 64

// unit is a unit of a size in bytes.
type unit struct {
	name  string
	bytes int64
}

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]*$`)
	units       = []unit{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

	errNotScalar = errors.New("is not a single value; write one value after the key")
)

// scalar returns the text of a node that is a single value.
func scalar(n *yaml.Node) (string, error) {
	if n.Kind != yaml.ScalarNode || n.Tag == "!!null" {
		return "", errNotScalar
	}
	return n.Value, nil
}

func parseName(n *yaml.Node) (string, error) {
	v, err := scalar(n)
	if err != nil {
		return "", err
	}
	if len(v) > maxNameBytes || !namePattern.MatchString(v) {
		return "", fmt.Errorf("%q is not a name; use at most %d letters, digits, _ and -, beginning with a letter or digit", shorten(v), maxNameBytes)
	}
	return v, nil
}

func parsePath(n *yaml.Node) (string, error) {
	v, err := scalar(n)
	if err != nil {
		return "", err
	}
	if v == "" || strings.ContainsRune(v, 0) {
		return "", errors.New("is not a path; name a PEM file or remove the key")
	}
	return v, nil
}

func parseURL(n *yaml.Node) (string, error) {
	v, err := scalar(n)
	if err != nil {
		return "", err
	}
	u, err := neturl.Parse(v)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return "", fmt.Errorf("%q is not a URL; write an http or https URL, for example http://10.0.0.9:4318", shorten(v))
	}
	return v, nil
}

func parseAddress(n *yaml.Node) (netip.AddrPort, error) {
	v, err := scalar(n)
	if err != nil {
		return netip.AddrPort{}, err
	}
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("%q is not an address; write an IP address and a port, for example 10.0.0.1:7100", shorten(v))
	}
	return a, nil
}

func parseAddresses(n *yaml.Node) ([]netip.AddrPort, error) {
	if n.Kind != yaml.SequenceNode || len(n.Content) == 0 {
		return nil, errors.New("is not a list of addresses; write at least one address, each on its own line after a dash")
	}
	list := make([]netip.AddrPort, 0, len(n.Content))
	for _, c := range n.Content {
		a, err := parseAddress(c)
		if err != nil {
			return nil, err
		}
		list = append(list, a)
	}
	return list, nil
}

func parseBool(n *yaml.Node) (bool, error) {
	v, err := scalar(n)
	if err != nil {
		return false, err
	}
	switch v {
	case "true":
		return true, nil
	case "false":
		return false, nil
	}
	return false, fmt.Errorf("%q is neither true nor false; write one of them", shorten(v))
}

func parseSize(n *yaml.Node) (int64, error) {
	v, err := scalar(n)
	if err != nil {
		return 0, err
	}
	for _, u := range units {
		digits, ok := strings.CutSuffix(v, u.name)
		if !ok {
			continue
		}
		size, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || size < 1 || size > math.MaxInt64/u.bytes {
			break
		}
		return size * u.bytes, nil
	}
	return 0, fmt.Errorf("%q is not a size above 0; write a whole number and one of the units B, KiB, MiB and GiB, for example 8MiB", shorten(v))
}

// formatSize formats a size with the largest unit that divides it.
func formatSize(size int64) string {
	for _, u := range units {
		if size%u.bytes == 0 {
			return strconv.FormatInt(size/u.bytes, 10) + u.name
		}
	}
	return strconv.FormatInt(size, 10) + "B"
}

func parseCount(n *yaml.Node) (int, error) {
	v, err := scalar(n)
	if err != nil {
		return 0, err
	}
	count, err := strconv.ParseInt(v, 10, 32)
	if err != nil || count < 1 {
		return 0, fmt.Errorf("%q is not a count; write a whole number from 1 to %d", shorten(v), math.MaxInt32)
	}
	return int(count), nil
}

func parseDuration(n *yaml.Node) (time.Duration, error) {
	v, err := scalar(n)
	if err != nil {
		return 0, err
	}
	d, err := time.ParseDuration(v)
	if err != nil || d <= 0 {
		return 0, fmt.Errorf("%q is not a duration above 0; write a number and a unit, for example 500ms, 2s or 5m", shorten(v))
	}
	return d, nil
}

func parseFraction(n *yaml.Node) (float64, error) {
	v, err := scalar(n)
	if err != nil {
		return 0, err
	}
	share, err := strconv.ParseFloat(v, 64)
	if err != nil || !(share >= 0 && share <= 1) {
		return 0, fmt.Errorf("%q is not a share; write a number from 0 to 1", shorten(v))
	}
	return share, nil
}

// shorten cuts a long value so that error messages stay readable.
func shorten(v string) string {
	const limit = 60
	if len(v) <= limit {
		return v
	}
	return strings.ToValidUTF8(v[:limit], "") + "..."
}
