// SPDX-License-Identifier: MIT

// Package layers holds the test of docs/ARCHITECTURE.md's layers.
package layers

import (
	"encoding/json"
	"errors"
	"io"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"testing"
)

const module = "github.com/ryehaven/ryehaven/"

// listed is a package as the go command lists it.
type listed struct {
	ImportPath string
	Imports    []string
}

// layerOf reads the table of docs/ARCHITECTURE.md.
func layerOf(t *testing.T) map[string]int {
	t.Helper()
	text, err := os.ReadFile("../../docs/ARCHITECTURE.md")
	if err != nil {
		t.Fatal(err)
	}
	row := regexp.MustCompile(`(?m)^\| ([0-9]) \| (.*?) \|`)
	name := regexp.MustCompile("`([^`]+)`")
	layers := map[string]int{}
	for _, m := range row.FindAllStringSubmatch(string(text), -1) {
		for _, n := range name.FindAllStringSubmatch(m[2], -1) {
			layers[n[1]] = int(m[1][0] - '0')
		}
	}
	return layers
}

func lookup(layers map[string]int, path string) (int, bool) {
	path = strings.TrimPrefix(path, module)
	if strings.HasPrefix(path, "cmd/") {
		path = "cmd/*"
	}
	layer, ok := layers[path]
	return layer, ok
}

// Nothing imports upwards, and pure decisions import neither network nor files.
func TestLayers(t *testing.T) {
	layers := layerOf(t)
	command := exec.Command("go", "list", "-json=ImportPath,Imports", module+"...")
	command.Dir = "../.."
	out, err := command.Output()
	if err != nil {
		t.Fatal(err)
	}
	decoder := json.NewDecoder(strings.NewReader(string(out)))
	for {
		var p listed
		if err := decoder.Decode(&p); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
		checkPackage(t, layers, p)
	}
}

func checkPackage(t *testing.T, layers map[string]int, p listed) {
	t.Helper()
	if strings.Contains(p.ImportPath, "/store/storetest") || strings.HasSuffix(p.ImportPath, "/internal/layers") {
		return // Test code.
	}
	layer, ok := lookup(layers, p.ImportPath)
	if !ok {
		t.Errorf("%s stands in no layer", p.ImportPath)
		return
	}
	for _, imported := range p.Imports {
		if layer == 1 && (imported == "net" || imported == "os" || imported == "net/http" || strings.Contains(imported, "fasthttp")) {
			t.Errorf("%s imports %s although it is pure", p.ImportPath, imported)
		}
		if !strings.HasPrefix(imported, module) {
			continue
		}
		if below, ok := lookup(layers, imported); ok && below > layer {
			t.Errorf("%s in layer %d imports %s in layer %d", p.ImportPath, layer, imported, below)
		}
	}
}
