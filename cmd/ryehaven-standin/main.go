// SPDX-License-Identifier: MIT

// Command ryehaven-standin runs a stand-in for a backend server or for the platform's
// object API, for tests and demonstrations.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/ryehaven/ryehaven/standin"
	"github.com/ryehaven/ryehaven/store/storetest"
)

var arguments struct {
	Server   serverCommand   `cmd:"" help:"Run a backend server."`
	Platform platformCommand `cmd:"" help:"Run the platform's object API, in memory."`
}

type serverCommand struct {
	Address   string `required:"" help:"IP address and port to listen on."`
	Name      string `default:"standin" help:"Server name in the answers."`
	Runs      string `help:"File to which the number of each request is appended when its execution starts."`
	Behaviour string `default:"{\"slots\":12,\"service_us\":2000}" help:"Behaviour as JSON; see type Behaviour of package standin."`
}

// Run serves requests until the process ends.
func (c *serverCommand) Run() error {
	var b standin.Behaviour
	if err := json.Unmarshal([]byte(c.Behaviour), &b); err != nil {
		return eris.Wrap(err, "--behaviour")
	}
	listener, err := net.Listen("tcp", c.Address)
	if err != nil {
		return err
	}
	server := standin.New(c.Name, b)
	if c.Runs != "" {
		server.RunLog, err = os.OpenFile(c.Runs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
	}
	fmt.Println("listening on", listener.Addr())
	return server.HTTP().Serve(listener)
}

type platformCommand struct {
	Address string `required:"" help:"IP address and port to listen on."`
	Hosts   string `type:"existingfile" optional:"" help:"JSON file with the platform's list of hosts."`
}

// Run serves requests until the process ends.
func (c *platformCommand) Run() error {
	var store storetest.Store
	if c.Hosts != "" {
		text, err := os.ReadFile(c.Hosts)
		if err != nil {
			return err
		}
		store.Set("hosts", text)
	}
	listener, err := net.Listen("tcp", c.Address)
	if err != nil {
		return err
	}
	fmt.Println("listening on", listener.Addr())
	server := &fasthttp.Server{Handler: store.Handle, MaxRequestBodySize: 4 << 20}
	return server.Serve(listener)
}

func main() {
	ctx := kong.Parse(&arguments,
		kong.Name("ryehaven-standin"),
		kong.Description("Stand-ins for a backend server and for the platform."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, eris.ToString(err, false))
		os.Exit(1)
	}
}
