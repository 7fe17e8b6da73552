// SPDX-License-Identifier: MIT

// Command ryehaven-standin is a stand-in of what ryehaven serves and uses: a
// backend server or the platform's object API, for tests and first steps.
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
	Address   string `required:"" help:"IP number and port to listen on."`
	Name      string `default:"standin" help:"Name in the answers."`
	Runs      string `help:"File to which the number of each request is added when its work begins."`
	Behaviour string `default:"{\"slots\":12,\"service_us\":2000}" help:"Behaviour as JSON; see package standin."`
}

// Run serves until the process is ended.
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
	Address string `required:"" help:"IP number and port to listen on."`
	Hosts   string `type:"existingfile" optional:"" help:"JSON file with the list of hosts."`
}

// Run serves until the process is ended.
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
		kong.Description("Stand-ins of a backend server and of the platform."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, eris.ToString(err, false))
		os.Exit(1)
	}
}
