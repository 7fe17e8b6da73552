// SPDX-License-Identifier: MIT

package table

import (
	"bytes"
	"encoding/csv"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// Errors of SetState.
var (
	ErrNoSuchServer = eris.New("no such server in the table")
	ErrAmbiguous    = eris.New("several services have a server of that name; name the service")
)

// SetState returns the text with the state of one server's row changed and all other
// lines as they were. If service is blank, exactly one service must have a server of
// that name.
func SetState(text []byte, service, server string, state State) ([]byte, error) {
	servers := split(text).servers
	reader := csv.NewReader(bytes.NewReader(servers.text))
	reader.Comment = '#'
	reader.FieldsPerRecord = -1
	header, err := reader.Read()
	if err != nil {
		return nil, eris.Wrap(err, "read header of table")
	}
	serviceAt, serverAt, stateAt := slices.Index(header, colService), slices.Index(header, colServer), slices.Index(header, colState)
	var edited []byte
	found, copied := 0, int64(0)
	for {
		start := reader.InputOffset()
		record, err := reader.Read()
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, eris.Wrap(err, "read table")
		}
		if record[serverAt] != server || (service != "" && record[serviceAt] != service) {
			continue
		}
		found++
		record[stateAt] = string(state)
		start = skipComments(text, start)
		edited = append(edited, text[copied:start]...)
		edited = append(edited, encodeRecord(record)...)
		copied = reader.InputOffset()
	}
	switch {
	case found == 0:
		return nil, eris.Wrapf(ErrNoSuchServer, "%q", server)
	case found > 1:
		return nil, eris.Wrapf(ErrAmbiguous, "%q", server)
	}
	return append(edited, text[copied:]...), nil
}

// skipComments returns the offset after the comments and blank lines at an offset.
func skipComments(text []byte, at int64) int64 {
	for at < int64(len(text)) && (text[at] == '#' || text[at] == '\n' || text[at] == '\r') {
		end := bytes.IndexByte(text[at:], '\n')
		if end < 0 {
			return int64(len(text))
		}
		at += int64(end) + 1
	}
	return at
}

func encodeRecord(record []string) []byte {
	var b bytes.Buffer
	w := csv.NewWriter(&b)
	_ = w.Write(record) // Writes to a bytes.Buffer don't fail.
	w.Flush()
	return b.Bytes()
}

// generationPrefix begins the line that holds the generation from which a file was read.
const generationPrefix = "# generation: "

// AddGeneration returns the text with a first line that holds its generation.
func AddGeneration(g Generation, text []byte) []byte {
	return append([]byte(generationPrefix+strconv.FormatUint(uint64(g), 10)+"\n"), text...)
}

// CutGeneration returns the generation in a file's first line, and the file without
// that line. ok is false if the first line holds no generation.
func CutGeneration(file []byte) (g Generation, text []byte, ok bool) {
	line, rest, _ := strings.Cut(string(file), "\n")
	digits, ok := strings.CutPrefix(strings.TrimSuffix(line, "\r"), generationPrefix)
	if !ok {
		return 0, file, false
	}
	n, err := strconv.ParseUint(strings.TrimSpace(digits), 10, 64)
	if err != nil {
		return 0, file, false
	}
	return Generation(n), []byte(rest), true
}
