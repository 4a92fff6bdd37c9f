package settings

import (
	"fmt"
	"math"
	"regexp"
	"strconv"
)

var quantityPattern = regexp.MustCompile(`^([0-9]{1,9}(?:\.[0-9]{1,3})?) ?([A-Za-z]+(?:/s)?)$`)

// sizeUnits are the units of sizes, in bytes.
var sizeUnits = map[string]float64{"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30, "TiB": 1 << 40}

// rateUnits are the units of rates, in bytes a second.
var rateUnits = map[string]float64{
	"bit/s": 1. / 8, "kbit/s": 1e3 / 8, "Mbit/s": 1e6 / 8, "Gbit/s": 1e9 / 8,
	"B/s": 1, "KiB/s": 1 << 10, "MiB/s": 1 << 20, "GiB/s": 1 << 30,
}

// parseQuantity reads a number with one of the units and returns it in the base unit.
func parseQuantity(text string, units map[string]float64) (int64, bool) {
	parts := quantityPattern.FindStringSubmatch(text)
	if parts == nil {
		return 0, false
	}
	unit, known := units[parts[2]]
	number, err := strconv.ParseFloat(parts[1], 64)
	if !known || err != nil {
		return 0, false
	}
	return int64(math.Round(number * unit)), true
}

func parseSize(text string) (int64, error) {
	size, ok := parseQuantity(text, sizeUnits)
	if !ok {
		return 0, fmt.Errorf("is not a size with its unit, such as 64MiB (B, KiB, MiB, GiB, TiB)")
	}
	return size, nil
}

// size reads an optional number of bytes.
func (r *reader) size(section, key string, low, high int64) int64 {
	return parsed(r, section, key, optional, func(text string) (int64, error) {
		size, err := parseSize(text)
		if err == nil && (size < low || size > high) {
			err = fmt.Errorf("is not from %d to %d bytes", low, high)
		}
		return size, err
	})
}

// requiredSize reads the memory of a VM in bytes.
func (r *reader) requiredSize(section, key string) int64 {
	const low, high = 1 << 20, 64 << 40
	return parsed(r, section, key, required, func(text string) (int64, error) {
		size, err := parseSize(text)
		if err == nil && (size < low || size > high) {
			err = fmt.Errorf("is not from 1MiB to 64TiB")
		}
		return size, err
	})
}

// rate reads an optional rate in bytes a second.
func (r *reader) rate(section, key string) int64 {
	return parsed(r, section, key, optional, func(text string) (int64, error) {
		rate, ok := parseQuantity(text, rateUnits)
		if !ok || rate < 1 {
			return 0, fmt.Errorf("is not a rate with its unit, such as 15Mbit/s or 2MiB/s")
		}
		return rate, nil
	})
}

// milliCores reads a number of cores, with up to three decimals.
func (r *reader) milliCores(section, key string) int64 {
	const maxCores = 4096
	return parsed(r, section, key, required, func(text string) (int64, error) {
		cores, err := strconv.ParseFloat(text, 64)
		if err != nil || !(cores >= 0.001 && cores <= maxCores) {
			return 0, fmt.Errorf("is not a number of cores from 0.001 to %d", maxCores)
		}
		return int64(math.Round(cores * 1000)), nil
	})
}
