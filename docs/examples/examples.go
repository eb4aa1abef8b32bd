// Package examples holds the documents of both first users' deployments, as an
// operator would publish them.
package examples

import "embed"

// Files holds one folder for each user: customers.toml, services.toml, vms.toml
// and one daemon's settings, sycamorekeeld.toml.
//
//go:embed leasing wikiforos
var Files embed.FS
