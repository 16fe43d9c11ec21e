#!/usr/bin/env bash
# Compares the help texts of the programs that operators call, which are an interface, with the golden
# files in src/posthatch/compatibility/testdata/help. With --write it writes those files first (only
# for a text that changes on purpose).
set -euo pipefail
cd "$(dirname "$0")/.."
golden=src/posthatch/compatibility/testdata/help
build=build/release
current=$(mktemp -d)
trap 'rm -rf "$current"' EXIT
help_of() {  # help_of FILE PROGRAM [SUBCOMMAND...]
  local file=$1
  shift
  # CLI11 prints the path that the program was started by.
  "$@" --help | sed "s|$build/src/posthatch/[a-z]*/||" >"$current/$file.txt"
}
daemon=$build/src/posthatch/server/posthatchd
control=$build/src/posthatch/ctl/posthatchctl
help_of posthatchd "$daemon"
help_of posthatchd-gateway "$daemon" gateway
help_of posthatchd-controller "$daemon" controller
help_of posthatch-platform "$build/posthatch-platform"
help_of posthatch-platform-gateway "$build/posthatch-platform" gateway
help_of posthatch-platform-controller "$build/posthatch-platform" controller
help_of posthatchctl "$control"
for command in config evacuate lift drain evacuations model-revision model-revisions members leases inventory controllers index; do
  help_of "posthatchctl-$command" "$control" "$command"
done
if [ "${1:-}" = --write ]; then
  mkdir -p "$golden"
  cp "$current"/*.txt "$golden"
fi
diff -r "$golden" "$current"
echo "help texts: $(find "$golden" -type f | wc -l) unchanged"
