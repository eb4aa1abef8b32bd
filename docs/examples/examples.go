// Package examples holds documents as an operator would publish them: the
// deployments of both first users, and a small one on loopback.
package examples

import "embed"

// Files holds one folder for each deployment: customers.toml, services.toml,
// vms.toml and the settings of daemons.
//
//go:embed edge leasing wikiforos local
var Files embed.FS
