// Package conf reads and checks the settings of an entry or a side from an INI file and from
// flags of the form --section-key, which override the file. The commands in package cmds call
// it; package proc builds a process from the result. doc/settings.md lists every key.
package conf

import (
	"net/netip"
	"time"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/process/fleet"
)

// Settings are the checked settings of one process, an entry or a side. Rates are in bytes
// per second and sizes in bytes.
type Settings struct {
	Process  Process
	Listen   Listen
	Platform Platform
	Peers    Peers
	Target   Target
	Links    Links
	Limits   Limits
	Log      Log
}

// Process identifies the process and its location.
type Process struct {
	Name   string     `key:"name" unit:"name" need:"true" help:"name of the VM, as in the VM list"`
	Role   fleet.Role `key:"role" need:"true" oneof:"entry,side" help:"what the process does"`
	Zone   string     `key:"zone" unit:"name" need:"true" help:"availability zone of the VM"`
	Region string     `key:"region" unit:"name" need:"true" help:"region of the zone"`
}

// Listen holds the addresses on which the process accepts connections.
type Listen struct {
	Peers   netip.AddrPort `key:"peers" need:"true" help:"where other processes of the system connect; a side holds its target's slot by it"`
	Callers netip.AddrPort `key:"callers" need:"true" role:"entry" help:"where callers connect"`
	Admin   netip.AddrPort `key:"admin" need:"true" help:"where the administration API answers"`
}

// Platform holds the addresses of the platform's services. Without Config or VMList, the
// process learns the configuration or the VMs from its peers only; without Store or Origin,
// it leaves the download of new weights to the other sides and gets them from those.
type Platform struct {
	Environment string         `key:"environment" unit:"name" need:"true" help:"name of the environment whose document is in force"`
	Config      netip.AddrPort `key:"config" help:"configuration service"`
	VMList      netip.AddrPort `key:"vmList" help:"VM list"`
	Store       netip.AddrPort `key:"store" help:"weight store"`
	Origin      netip.AddrPort `key:"origin" help:"origin of the weights"`
}

// Peers lists processes that are contacted before the VM list is known.
type Peers struct {
	Seeds []netip.AddrPort `key:"seeds" help:"peer addresses, parted by commas, that are asked at the start"`
}

// Target describes the target next to a side.
type Target struct {
	Address netip.AddrPort     `key:"address" need:"true" role:"side" help:"where the target answers"`
	Service string             `key:"service" unit:"name" need:"true" role:"side" help:"service whose replica the target is"`
	Kind    envdoc.ServiceKind `key:"kind" need:"true" oneof:"engine,plain" role:"side" help:"whether the target is a model engine or a plain service"`
}

// Links holds the bandwidth of the VM's link and of its region's link.
type Links struct {
	Up     int64 `key:"up" unit:"rate" default:"50Mbit" min:"64kbit" max:"400Gbit" help:"rate of the VM's link upwards, a second"`
	Down   int64 `key:"down" unit:"rate" default:"50Mbit" min:"64kbit" max:"400Gbit" help:"rate of the VM's link downwards, a second"`
	Region int64 `key:"region" unit:"rate" default:"25Mbit" min:"64kbit" max:"400Gbit" help:"rate of the region's link each way, a second; the document goes before it"`
}

// Limits bounds the resources that callers and peers can make the process use, and the time
// and memory that the process itself takes.
type Limits struct {
	MaxBody     int64         `key:"maxBody" default:"4MiB" min:"1KiB" max:"64MiB" role:"entry" help:"most bytes of a caller's request body"`
	MaxHeader   int64         `key:"maxHeader" default:"64KiB" min:"4KiB" max:"1MiB" role:"entry" help:"most bytes of a caller's request headers"`
	ReadTimeout time.Duration `key:"readTimeout" default:"10s" min:"100ms" max:"5m" role:"entry" help:"most time in which a caller sends its request"`
	MaxInFlight int           `key:"maxInFlight" default:"1024" min:"1" max:"65536" help:"most calls in flight"`
	MaxRecords  int           `key:"maxRecords" default:"65536" min:"16" max:"4194304" role:"side" help:"most calls of which the outcome is remembered"`
	RecordAge   time.Duration `key:"recordAge" default:"10m" min:"10s" max:"24h" role:"side" help:"how long the outcome of a call is remembered"`
	Subset      int           `key:"subset" default:"32" min:"1" max:"256" help:"targets of each service to which an entry keeps sessions" role:"entry"`
	UploadSlots int           `key:"uploadSlots" default:"2" min:"1" max:"64" help:"peers to which a side sends chunks at once" role:"side"`
	Grace       time.Duration `key:"grace" default:"30s" min:"0s" max:"1h" help:"most time for calls in flight to finish at shutdown"`
	Memory      int64         `key:"memory" default:"64MiB" min:"16MiB" max:"64GiB" help:"soft limit of the process's memory"`
}

// Log says what is logged, and where.
type Log struct {
	Level     string `key:"level" default:"info" oneof:"debug,info,warning,error" help:"least level that is logged"`
	Output    string `key:"output" default:"stderr" help:"stderr, stdout or the path of a file that is appended to"`
	Decisions string `key:"decisions" default:"" help:"where decisions are logged: stderr, stdout or the path of a file; empty for the same place as output"`
	Buffer    int    `key:"buffer" default:"4096" min:"16" max:"1048576" help:"lines that may wait to be written; more are dropped and counted"`
}
