package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	"gotest.tools/v3/assert"

	"currantstall/internal/admission"
)

const validArgs = "--vm=e1 --data-centre=rennes --platform=http://127.0.0.1:1 --peer-secret=0123456789abcdef"

func parseEntry(t *testing.T, args string) (Entry, error) {
	t.Helper()
	var e Entry
	p, err := kong.New(&e, kong.DefaultEnvars("CURRANTSTALL"), kong.Exit(func(int) {}))
	assert.NilError(t, err)
	_, err = p.Parse(strings.Fields(args))
	return e, err
}

func TestDefaultsAreValid(t *testing.T) {
	e, err := parseEntry(t, validArgs)
	assert.NilError(t, err)
	assert.Equal(t, e.Lease, 1500*time.Millisecond)
	assert.Equal(t, e.BodyBytes(), int64(256<<20))
	assert.Equal(t, e.AdmissionPolicy(), admission.Shares)
}

func TestInvalidValueIsReportedInOneLine(t *testing.T) {
	for _, tc := range []struct{ args, want string }{
		{"--vm=E1", `--vm: "E1" is not a valid name`},
		{"--data-centre=a/b", `--data-centre: "a/b" is not a valid name`},
		{"--listen=7400", `--listen: "7400" is not HOST:PORT`},
		{"--listen=127.0.0.1:x1", "has no valid port"},
		{"--peer-listen=:7401", "--peer-advertise: is required"},
		{"--peer-listen=0.0.0.0:7401", "--peer-advertise: is required"},
		{"--peer-advertise=10.0.0.1:0", "--peer-advertise: \"10.0.0.1:0\" has no valid port"},
		{"--peer-advertise=entry.example:7401", "has a host that is not an IP address"},
		{"--peer-advertise=0.0.0.0:7401", "is not an address that can be dialled"},
		{"--platform=127.0.0.1:9", "is not http://HOST:PORT"},
		{"--peer-secret=short", "has 5 bytes, want 16 or more"},
		{"--peer-secret=", "exactly one of them must be set"},
		{"--peer-secret-file=x", "exactly one of them must be set"},
		{"--lease=1ms", "--lease: is 1ms, want 1s to 1m0s"},
		{"--drain-timeout=0s", "--drain-timeout: is 0s, want more than 0"},
		{"--body-mib=0", "--body-mib: is 0"},
		{"--writes-per-second=-1", "--writes-per-second: is -1"},
		{"--policy=lifo", "--policy must be one of"},
		{"--log-level=loud", "--log-level must be one of"},
		{"--seed=e2=127.0.0.1:7401", "is not NAME=HOST:PORT@DATA-CENTRE"},
		{"--seed=127.0.0.1:7401@rennes", "is not NAME=HOST:PORT@DATA-CENTRE"},
		{"--seed=e2=entry:7401@rennes", "has a host that is not an IP address"},
		{"--seed=e2=127.0.0.1:7401@Rennes", `"Rennes" is not a valid name`},
		{"--lease=3", "expected duration"},
	} {
		_, err := parseEntry(t, validArgs+" "+tc.args)
		assert.ErrorContains(t, err, tc.want)
		assert.Assert(t, !strings.Contains(err.Error(), "\n"), "%q", err)
	}
}

func TestSeedsFromFlagsOrVariable(t *testing.T) {
	want := []Seed{{"e2", "10.0.0.2:7401", "rennes"}, {"q1", "[::1]:7401", "quimper"}}
	e, err := parseEntry(t, validArgs+" --seed=e2=10.0.0.2:7401@rennes --seed=q1=[::1]:7401@quimper")
	assert.NilError(t, err)
	assert.DeepEqual(t, e.Seed, want)

	t.Setenv("CURRANTSTALL_SEED", "e2=10.0.0.2:7401@rennes,q1=[::1]:7401@quimper")
	e, err = parseEntry(t, validArgs)
	assert.NilError(t, err)
	assert.DeepEqual(t, e.Seed, want)
}

func TestSecretFromVariableOrFile(t *testing.T) {
	without := strings.Fields(validArgs)[:3]
	file := filepath.Join(t.TempDir(), "secret")
	assert.NilError(t, os.WriteFile(file, []byte("from a file, 16+\n"), 0o600))

	e, err := parseEntry(t, strings.Join(without, " ")+" --peer-secret-file="+file)
	assert.NilError(t, err)
	secret, err := e.Secret()
	assert.NilError(t, err)
	assert.Equal(t, string(secret), "from a file, 16+")

	t.Setenv("CURRANTSTALL_PEER_SECRET", "from the variable")
	e, err = parseEntry(t, strings.Join(without, " "))
	assert.NilError(t, err)
	secret, err = e.Secret()
	assert.NilError(t, err)
	assert.Equal(t, string(secret), "from the variable")
}
