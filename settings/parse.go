// SPDX-License-Identifier: MIT

package settings

import (
	"errors"
	"os"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
	"github.com/rotisserie/eris"

	"github.com/ryehaven/ryehaven/internal/finding"
)

// Load reads and validates a settings file.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "read settings")
	}
	return Parse(path, text)
}

// Parse reads and validates settings in TOML. The error, if any, is a *finding.Error that
// lists every fault.
func Parse(file string, text []byte) (Settings, error) {
	p := parser{
		findings: finding.List{File: file},
		settings: Default(),
		seen:     map[string]int{},
	}
	p.parse(text)
	p.checkRequired()
	if err := p.findings.Err(); err != nil {
		return Settings{}, err
	}
	return p.settings, nil
}

type parser struct {
	toml     unstable.Parser
	findings finding.List
	settings Settings
	// seen maps the keys that have been read to their lines.
	seen map[string]int
	// prefix is the name of the current table with a trailing dot.
	prefix string
}

func (p *parser) parse(text []byte) {
	p.toml.Reset(text)
	for p.toml.NextExpression() {
		e := p.toml.Expression()
		switch e.Kind {
		case unstable.Table:
			name, _, _ := p.key(e)
			p.prefix = name + "."
		case unstable.ArrayTable:
			name, line, column := p.key(e)
			p.findings.Add(line, column, "%q must not be an array of tables", name)
		case unstable.KeyValue:
			p.keyValue(p.prefix, e)
		}
	}
	p.addSyntaxError(text, p.toml.Error())
}

func (p *parser) addSyntaxError(text []byte, err error) {
	if err == nil {
		return
	}
	var syntax *unstable.ParserError
	if errors.As(err, &syntax) && len(syntax.Highlight) > 0 {
		start := p.toml.Shape(p.toml.Range(syntax.Highlight)).Start
		p.findings.Add(start.Line, start.Column, "%s", syntax.Message)
		return
	}
	lines := strings.Count(string(text), "\n") + 1
	p.findings.Add(lines, 1, "%v", err)
}

// key returns the dotted key of a node of the syntax tree and its position.
func (p *parser) key(e *unstable.Node) (name string, line, column int) {
	var parts []string
	it := e.Key()
	for it.Next() {
		part := it.Node()
		if len(parts) == 0 {
			start := p.toml.Shape(part.Raw).Start
			line, column = start.Line, start.Column
		}
		parts = append(parts, string(part.Data))
	}
	return strings.Join(parts, "."), line, column
}

// keyValue reads a key with its value, or all keys of an inline table.
func (p *parser) keyValue(prefix string, e *unstable.Node) {
	name, line, column := p.key(e)
	name = prefix + name
	if e.Value().Kind == unstable.InlineTable {
		it := e.Value().Children()
		for it.Next() {
			p.keyValue(name+".", it.Node())
		}
		return
	}
	if first, ok := p.seen[name]; ok {
		p.findings.Add(line, column, "%s is set twice, first in line %d", name, first)
		return
	}
	p.seen[name] = line
	for _, k := range keys {
		if k.Name != name {
			continue
		}
		if err := k.set(&p.settings, valueOf(e.Value())); err != nil {
			p.findings.Add(line, column, "%s %v", name, err)
		}
		return
	}
	p.findings.Add(line, column, "%s is not a setting", name)
}

func valueOf(n *unstable.Node) value {
	switch n.Kind {
	case unstable.String:
		return value{kind: kindString, text: string(n.Data)}
	case unstable.Bool:
		return value{kind: kindBool, boolean: string(n.Data) == "true"}
	case unstable.Integer, unstable.Float:
		number, err := strconv.ParseFloat(strings.ReplaceAll(string(n.Data), "_", ""), 64)
		if err == nil {
			return value{kind: kindNumber, number: number}
		}
	case unstable.Array:
		return valueOfArray(n)
	}
	return value{kind: kindOther}
}

func valueOfArray(n *unstable.Node) value {
	v := value{kind: kindStrings}
	it := n.Children()
	for it.Next() {
		item := it.Node()
		if item.Kind == unstable.Comment {
			continue
		}
		if item.Kind != unstable.String {
			return value{kind: kindOther}
		}
		v.list = append(v.list, string(item.Data))
	}
	return v
}

func (p *parser) checkRequired() {
	for _, k := range keys {
		if _, ok := p.seen[k.Name]; k.Required && !ok {
			p.findings.Add(0, 0, "%s is missing: %s", k.Name, k.Meaning)
		}
	}
	p.checkSidecar()
}

// checkSidecar reports missing settings of the sidecar, which must be set together, and a
// missing peers.key without a sidecar.
func (p *parser) checkSidecar() {
	together := []string{"sidecar.control", "sidecar.ready", "sidecar.server", "sidecar.service"}
	given := 0
	for _, name := range together {
		if _, ok := p.seen[name]; ok {
			given++
		}
	}
	if _, ok := p.seen["peers.key"]; !ok && given == 0 {
		p.findings.Add(0, 0, "peers.key is missing: shared key of all nodes, at least %d bytes", MinKeyBytes)
	}
	if given == 0 || given == len(together) {
		return
	}
	for _, name := range together {
		if _, ok := p.seen[name]; !ok {
			p.findings.Add(0, 0, "%s is missing; it is required together with the other settings of the sidecar", name)
		}
	}
}
