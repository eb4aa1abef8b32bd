package finding

import (
	"fmt"
	"net/netip"
)

// Checker collects what is wrong with one input, field by field.
type Checker struct {
	// File is the name of the input.
	File     string
	Findings List
}

// Fault adds a finding.
func (c *Checker) Fault(field, format string, args ...any) {
	c.Findings = append(c.Findings, Finding{File: c.File, Field: field, Message: fmt.Sprintf(format, args...)})
}

// Given holds that a text is not empty.
func (c *Checker) Given(field, value string) {
	if value == "" {
		c.Fault(field, "must be given")
	}
}

// Address holds that a text is an IP address and a port.
func (c *Checker) Address(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.Fault(field, "must be an IP address and a port, is %q", value)
	}
}

// Positive holds that a number is above 0; what is no number is not.
func (c *Checker) Positive(field string, value float64) {
	if !(value > 0) {
		c.Fault(field, "must be above 0, is %v", value)
	}
}

// AtLeastZero holds that a number is 0 or more; what is no number is not.
func (c *Checker) AtLeastZero(field string, value float64) {
	if !(value >= 0) {
		c.Fault(field, "must be 0 or more, is %v", value)
	}
}
