package finding

import (
	"fmt"
	"net/netip"
)

// Checker validates the fields of one input and collects the findings.
type Checker struct {
	// File is the name of the input.
	File string
	// Findings holds the findings so far, in the order of the checks.
	Findings List
}

// Addf adds a finding on a field; the message is formatted as by fmt.Sprintf.
func (c *Checker) Addf(field, format string, args ...any) {
	c.Findings = append(c.Findings, Finding{File: c.File, Field: field, Message: fmt.Sprintf(format, args...)})
}

// NonEmpty checks that a string is not empty.
func (c *Checker) NonEmpty(field, value string) {
	if value == "" {
		c.Addf(field, "must be given")
	}
}

// Address checks that a string is an IP address and a port.
func (c *Checker) Address(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.Addf(field, "must be an IP address and a port, is %q", value)
	}
}

// Positive checks that a number is above 0. It rejects NaN.
func (c *Checker) Positive(field string, value float64) {
	if !(value > 0) {
		c.Addf(field, "must be above 0, is %v", value)
	}
}

// NonNegative checks that a number is 0 or more. It rejects NaN.
func (c *Checker) NonNegative(field string, value float64) {
	if !(value >= 0) {
		c.Addf(field, "must be 0 or more, is %v", value)
	}
}
