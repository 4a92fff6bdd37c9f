package plan

import (
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

var (
	integerPattern = regexp.MustCompile(`^[0-9]{1,18}$`)
	decimalPattern = regexp.MustCompile(`^([0-9]{1,12})(?:\.([0-9]{1,9}))?$`)
	// thousandsPattern matches numbers that may be meant with a thousands separator.
	thousandsPattern = regexp.MustCompile(`^[1-9][0-9]{0,2}(?:[.,][0-9]{3})+$`)
)

// parseInteger reads a whole number without a sign.
func parseInteger(text string) (int64, error) {
	if !integerPattern.MatchString(text) {
		return 0, errors.Errorf("%q is not a whole number", text)
	}
	return strconv.ParseInt(text, 10, 64)
}

// parseScaled reads a decimal number of at most digits decimals and returns it
// times 10^digits. With commas, the decimal mark may be a comma, and a point
// that may be meant as a thousands separator is refused.
func parseScaled(text string, digits int, commas bool) (int64, error) {
	if commas && strings.Contains(text, ".") && thousandsPattern.MatchString(text) {
		return 0, errors.Errorf("%q may mean thousands or decimals; write it without thousands separator or with a decimal comma", text)
	}
	if !commas && strings.Contains(text, ",") {
		return 0, errors.Errorf("%q has a comma; the decimal mark of this sheet is the point, without thousands separators", text)
	}
	number := text
	if commas && !strings.Contains(text, ".") {
		number = strings.Replace(text, ",", ".", 1)
	}
	parts := decimalPattern.FindStringSubmatch(number)
	if parts == nil {
		return 0, errors.Errorf("%q is not a number", text)
	}
	decimals := strings.TrimRight(parts[2], "0")
	if len(decimals) > digits {
		return 0, errors.Errorf("%q has more than %d decimals", text, digits)
	}
	decimals += strings.Repeat("0", digits-len(decimals))
	scaled, err := strconv.ParseInt(parts[1]+decimals, 10, 64)
	if err != nil {
		return 0, errors.Errorf("%q is too large", text)
	}
	return scaled, nil
}

// clockLayouts are the layouts of a time on the plan's own day.
var clockLayouts = []string{"15:04", "15:04:05"}

// dateTimeLayouts are the layouts of a time with its day, in the plan's time zone.
var dateTimeLayouts = []string{"2006-01-02 15:04", "2006-01-02 15:04:05", "2006-01-02T15:04", "2006-01-02T15:04:05"}

// parseDeadline reads a time of the given day, a day with a time, or an RFC 3339 time.
func parseDeadline(text string, dayStart time.Time) (time.Time, error) {
	if t, err := time.Parse(time.RFC3339, text); err == nil {
		return t.UTC(), nil
	}
	for _, layout := range dateTimeLayouts {
		if t, err := time.ParseInLocation(layout, text, dayStart.Location()); err == nil {
			return t.UTC(), nil
		}
	}
	for _, layout := range clockLayouts {
		t, err := time.Parse(layout, text)
		if err != nil {
			continue
		}
		year, month, day := dayStart.Date()
		return time.Date(year, month, day, t.Hour(), t.Minute(), t.Second(), 0, dayStart.Location()).UTC(), nil
	}
	return time.Time{}, errors.Errorf("%q is not a time; write HH:MM, YYYY-MM-DD HH:MM or RFC 3339", text)
}
