package settings

import (
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"gopkg.in/ini.v1"

	"amaranthpaddle/fault"
	"amaranthpaddle/transport"
)

// need says whether a key must be given.
type need bool

const (
	required need = true
	optional need = false
)

// maxListed bounds the addresses of one key.
const maxListed = 64

// keyName is one key in its section.
type keyName struct {
	section string
	key     string
}

// reader takes typed values out of one INI file and collects the faults.
type reader struct {
	file   string
	values map[keyName]string
	known  map[keyName]bool
	faults []string
}

// parseOptions turn off everything in which one line can change the meaning of another.
var parseOptions = ini.LoadOptions{
	IgnoreContinuation:       true,
	SpaceBeforeInlineComment: true,
	KeyValueDelimiters:       "=",
	AllowShadows:             true,
	AllowNonUniqueSections:   true,

	AllowDuplicateShadowValues: true,
	PreserveEmptyShadowValues:  true,
}

func newReader(file string, data []byte) *reader {
	r := &reader{file: file, values: map[keyName]string{}, known: map[keyName]bool{}}
	switch {
	case len(data) > MaxBytes:
		r.addText("the file exceeds 1 MiB")
	case !utf8.Valid(data):
		r.addText("the file is not UTF-8")
	default:
		r.parse(data)
	}
	return r
}

func (r *reader) parse(data []byte) {
	parsed, err := ini.LoadSources(parseOptions, data)
	if err != nil {
		r.addText(err.Error())
		return
	}
	seen := map[string]bool{}
	for _, section := range parsed.Sections() {
		name := section.Name()
		if seen[name] && name != ini.DefaultSection {
			r.addText(fmt.Sprintf("section [%s] stands twice", name))
		}
		seen[name] = true
		for _, key := range section.Keys() {
			if values := key.ValueWithShadows(); len(values) > 1 {
				r.add(name, key.Name(), strings.Join(values, " and "), "stands twice")
			}
			r.values[keyName{name, key.Name()}] = key.Value()
		}
	}
}

// add reports a fault of one key. The value is left out when it is empty.
func (r *reader) add(section, key, value, message string) {
	text := fmt.Sprintf("[%s] %s", section, key)
	if value != "" {
		text += fmt.Sprintf(" = %s", strconv.Quote(value))
	}
	r.addText(text + ": " + message)
}

func (r *reader) addText(message string) {
	r.faults = append(r.faults, r.file+": "+message)
}

// addUnknown reports the keys that nobody asked for.
func (r *reader) addUnknown() {
	var unknown []keyName
	for name := range r.values {
		if !r.known[name] {
			unknown = append(unknown, name)
		}
	}
	slices.SortFunc(unknown, func(a, b keyName) int {
		return strings.Compare(a.section+"\x00"+a.key, b.section+"\x00"+b.key)
	})
	for _, name := range unknown {
		r.add(name.section, name.key, r.values[name], "unknown key")
	}
}

func (r *reader) err() error {
	if len(r.faults) == 0 {
		return nil
	}
	return fault.New(fault.InvalidArgument, "settings refused:\n"+strings.Join(r.faults, "\n"))
}

// text returns the value of a key, "" when it is not given.
func (r *reader) text(section, key string, n need) string {
	name := keyName{section, key}
	r.known[name] = true
	value, given := r.values[name]
	value = strings.TrimSpace(value)
	switch {
	case !given && n == required:
		r.add(section, key, "", "is missing")
	case given && value == "":
		r.add(section, key, "", "is empty")
	case strings.ContainsFunc(value, func(c rune) bool { return c < ' ' }):
		r.add(section, key, value, "contains a control character")
		return ""
	}
	return value
}

// parsed converts the value of a key. It returns the zero value when the key
// is not given or has a fault.
func parsed[T any](r *reader, section, key string, n need, convert func(string) (T, error)) T {
	var zero T
	text := r.text(section, key, n)
	if text == "" {
		return zero
	}
	value, err := convert(text)
	if err != nil {
		r.add(section, key, text, err.Error())
		return zero
	}
	return value
}

func (r *reader) process() Process {
	return Process{
		Name:     r.name("process", "name"),
		Zone:     r.name("process", "zone"),
		Region:   r.name("process", "region"),
		LogLevel: r.count("log", "level", 0, 10),
	}
}

func (r *reader) tls() TLS {
	t := TLS{
		Files: transport.Files{
			Certificate: r.text("tls", "certificate", optional),
			Key:         r.text("tls", "key", optional),
			CA:          r.text("tls", "ca", optional),
		},
		Insecure: r.boolean("tls", "insecure"),
	}
	f := t.Files
	some := f.Certificate != "" || f.Key != "" || f.CA != ""
	if some && (f.Certificate == "" || f.Key == "" || f.CA == "") {
		r.addText("[tls]: certificate, key and ca are given together or not at all")
	}
	if some && t.Insecure {
		r.add("tls", "insecure", "true", "contradicts the certificate")
	}
	return t
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

func (r *reader) name(section, key string) string {
	return parsed(r, section, key, required, func(text string) (string, error) {
		if !namePattern.MatchString(text) {
			return "", fmt.Errorf("a name has 1 to 63 letters (a-z, A-Z), digits, '-', '_' or '.', and starts with a letter or digit")
		}
		return text, nil
	})
}

func (r *reader) boolean(section, key string) bool {
	return parsed(r, section, key, optional, func(text string) (bool, error) {
		switch text {
		case "true":
			return true, nil
		case "false":
			return false, nil
		}
		return false, fmt.Errorf("is neither true nor false")
	})
}

// parseAddress checks an ip:port. A process is told its addresses, so names are refused.
func parseAddress(text string) (string, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return "", fmt.Errorf("is not an ip:port such as 10.0.0.1:7070")
	}
	return address.String(), nil
}

func (r *reader) address(section, key string, n need) string {
	return parsed(r, section, key, n, parseAddress)
}

func (r *reader) loopbackAddress(section, key string) string {
	return parsed(r, section, key, required, func(text string) (string, error) {
		address, err := parseAddress(text)
		if err != nil {
			return "", err
		}
		host, _, _ := net.SplitHostPort(address)
		if !net.ParseIP(host).IsLoopback() {
			return "", fmt.Errorf("must be a loopback address: what runs on the VM uses it without a credential")
		}
		return address, nil
	})
}

// list splits a value at commas.
func list(text string) ([]string, error) {
	items := strings.Split(text, ",")
	if len(items) > maxListed {
		return nil, fmt.Errorf("lists more than %d addresses", maxListed)
	}
	for i := range items {
		items[i] = strings.TrimSpace(items[i])
	}
	return items, nil
}

func (r *reader) addresses(section, key string, n need) []string {
	return parsed(r, section, key, n, func(text string) ([]string, error) {
		items, err := list(text)
		if err != nil {
			return nil, err
		}
		var addresses []string
		for _, item := range items {
			address, err := parseAddress(item)
			if err != nil {
				return nil, fmt.Errorf("%q %w", item, err)
			}
			if slices.Contains(addresses, address) {
				return nil, fmt.Errorf("%q stands twice", item)
			}
			addresses = append(addresses, address)
		}
		return addresses, nil
	})
}

// withPort returns the addresses with another port.
func withPort(addresses []string, port int) []string {
	changed := make([]string, len(addresses))
	for i, address := range addresses {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return addresses // parseAddress has checked them
		}
		changed[i] = net.JoinHostPort(host, strconv.Itoa(port))
	}
	return changed
}

// members reads a list such as "1=10.0.0.1:7071, 2=10.0.0.2:7071".
func (r *reader) members(section, key string) map[uint64]string {
	return parsed(r, section, key, optional, func(text string) (map[uint64]string, error) {
		items, err := list(text)
		if err != nil {
			return nil, err
		}
		members := map[uint64]string{}
		for _, item := range items {
			idText, addressText, _ := strings.Cut(item, "=")
			id, err := parseID(strings.TrimSpace(idText))
			if err != nil {
				return nil, fmt.Errorf("%q is not a member such as 1=10.0.0.1:7071", item)
			}
			address, err := parseAddress(strings.TrimSpace(addressText))
			if err != nil {
				return nil, fmt.Errorf("%q %w", item, err)
			}
			if members[id] != "" {
				return nil, fmt.Errorf("member %d stands twice", id)
			}
			members[id] = address
		}
		return members, nil
	})
}

func parseID(text string) (uint64, error) {
	id, err := strconv.ParseUint(text, 10, 63)
	if err != nil || id == 0 {
		return 0, fmt.Errorf("is not a positive number")
	}
	return id, nil
}

func (r *reader) id(section, key string) uint64 {
	return parsed(r, section, key, required, parseID)
}

func (r *reader) url(section, key string) string {
	return parsed(r, section, key, required, func(text string) (string, error) {
		u, err := url.Parse(text)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" || u.RawQuery != "" || u.Fragment != "" {
			return "", fmt.Errorf("is not a base URL such as http://127.0.0.1:7100")
		}
		return strings.TrimSuffix(text, "/"), nil
	})
}

func (r *reader) count(section, key string, low, high int) int {
	return parsed(r, section, key, optional, func(text string) (int, error) {
		n, err := strconv.Atoi(text)
		if err != nil || n < low || n > high {
			return 0, fmt.Errorf("is not a whole number from %d to %d", low, high)
		}
		return n, nil
	})
}

// factor reads an optional ratio, 0 if it is missing.
func (r *reader) factor(section, key string, low, high float64) float64 {
	return parsed(r, section, key, optional, func(text string) (float64, error) {
		f, err := strconv.ParseFloat(text, 64)
		if err != nil || !(f >= low && f <= high) {
			return 0, fmt.Errorf("is not a number from %g to %g", low, high)
		}
		return f, nil
	})
}

// choice reads an optional value that is one of the given words.
func (r *reader) choice(section, key string, words ...string) string {
	return parsed(r, section, key, optional, func(text string) (string, error) {
		if !slices.Contains(words, text) {
			return "", fmt.Errorf("is none of %s", strings.Join(words, ", "))
		}
		return text, nil
	})
}

func (r *reader) duration(section, key string, low, high time.Duration) time.Duration {
	return parsed(r, section, key, optional, func(text string) (time.Duration, error) {
		d, err := time.ParseDuration(text)
		if err != nil {
			return 0, fmt.Errorf("is not a time with its unit, such as 500ms, 2s or 1h30m")
		}
		if d < low || d > high {
			return 0, fmt.Errorf("is not from %v to %v", low, high)
		}
		return d, nil
	})
}
