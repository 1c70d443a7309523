// This file defines how duties are set by a text instead of the settings file.

package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
)

// ErrDuties means that a text does not describe duties.
var ErrDuties = errors.New("duties are not valid")

// WithDuties returns the settings with the duties that a text of words FIELD=VALUE describes, such as
// "addr=10.0.0.3:80 held=usage,scaling leaseTtl=3s". The fields are those of Duties. A text without an address leaves the
// settings as they are: a platform that has no duties fills in nothing.
func (s Settings) WithDuties(text string) (Settings, error) {
	d := Default().Duties
	for word := range strings.FieldsSeq(text) {
		field, value, ok := strings.Cut(word, "=")
		if !ok {
			return s, fmt.Errorf("%w: %q is not FIELD=VALUE", ErrDuties, word)
		}
		// A placeholder is left as it is by whoever starts a node without the platform's values.
		if field == "addr" && (value == "" || strings.HasPrefix(value, "{{")) {
			return s, nil
		}
		if err := d.set(field, value); err != nil {
			return s, fmt.Errorf("%w: %s: %w", ErrDuties, word, err)
		}
	}
	if !d.IsSet() {
		return s, nil
	}
	v := new(validator)
	v.duties(d)
	if len(v.problems) > 0 {
		return s, fmt.Errorf("%w: %w", ErrDuties, v.problems)
	}
	s.Duties = d
	return s, nil
}

// set sets one field. An empty value leaves the default.
func (d *Duties) set(field, value string) (err error) {
	if value == "" {
		return nil
	}
	switch field {
	case "addr":
		d.Addr, err = netip.ParseAddrPort(value)
	case "held":
		d.Held = strings.Split(value, ",")
	case "callsPerSecond":
		d.CallsPerSecond, err = strconv.ParseFloat(value, 64)
	case "leaseTtl":
		err = d.LeaseTTL.UnmarshalText([]byte(value))
	case "reportWindow":
		err = d.ReportWindow.UnmarshalText([]byte(value))
	case "reportDue":
		err = d.ReportDue.UnmarshalText([]byte(value))
	case "reportTolerance":
		d.ReportTolerance, err = strconv.ParseFloat(value, 64)
	default:
		err = errors.New("there is no such field")
	}
	return err
}
