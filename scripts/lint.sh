#!/usr/bin/env bash
# clang-tidy over the project's own sources, in parallel; warnings are errors (.clang-tidy).
# A file that was found clean is not looked at again while nothing that it is compiled from has
# changed: its key is the hash of the linter, its settings, the compile command and the contents of
# the source and of every header it includes, as the build recorded them (`ninja -t deps`). Lines of
# the project's own files that hold a // comment alone do not count, since no check that is enabled
# reads them; NOLINT does.
# Only clean results are kept. Usage: scripts/lint.sh [--no-cache] [FILE...]
set -euo pipefail
cd "$(dirname "$0")/.."
build=build/release
cache=${POSTHATCH_LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/posthatch-lint}
if [ "${1:-}" = --no-cache ]; then
  cache=$(mktemp -d)
  shift
fi
mkdir -p "$cache"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
if [ $# -gt 0 ]; then
  printf '%s\n' "$@" >"$work/files"
else
  git ls-files 'src/*.cc' 'platform/*.cc' | grep -v -- '-fuzz\.cc$' >"$work/files"
fi

# One line a dependency: SOURCE DEPENDENCY, for every object of the build.
ninja -C "$build" -t deps | awk -v root="$PWD/" '
  /^[^ ].*: #deps/ { source = "" ; next }
  /^    / {
    file = substr($0, 5)
    if (source == "") source = file
    name = source
    if (index(name, root) == 1) name = substr(name, length(root) + 1)
    sub(/^(\.\.\/)+/, "", name)
    print name "\t" file
  }' >"$work/dependencies"
cut -f2 "$work/dependencies" | sort -u >"$work/included"
(cd "$build" && grep '^/usr/' "$work/included" | xargs -d '\n' sha256sum) >"$work/hashes"
# HASH, two spaces, FILE, as sha256sum prints it.
(cd "$build" && grep -v '^/usr/' "$work/included" | while read -r file; do
  printf '%s  %s\n' "$(sed -E '/NOLINT/!{/^[[:space:]]*\/\//d}' "$file" | sha256sum | cut -d' ' -f1)" "$file"
done) >>"$work/hashes"
sha256sum .clang-tidy | cut -d' ' -f1 >"$work/common"
clang-tidy --version >>"$work/common"
# The compile commands without this checkout's path, which the result does not depend on.
sed "s|$PWD||g" "$build/compile_commands.json" | tr -d '\n' | sed 's/},/},\n/g' >"$work/commands"

# For each source one file that lists all its key is made of.
mkdir "$work/keys"
awk -v keys="$work/keys" -v root="$PWD/" -F'\t' '
  FILENAME ~ /hashes$/ { hash[substr($0, 67)] = substr($0, 1, 64); next }
  FILENAME ~ /files$/ { wanted[$0] = 1; next }
  wanted[$1] { path = $1; gsub("/", "%", path); out = keys "/" path
               print hash[$2] >> out; if (out != last) { if (last != "") close(last); last = out } }
' "$work/hashes" "$work/files" "$work/dependencies"

: >"$work/todo"
: >"$work/known"
while read -r file; do
  list="$work/keys/${file//\//%}"
  if [ ! -s "$list" ]; then
    echo "$file is not compiled by the release build: build it first" >&2
    exit 1
  fi
  { cat "$work/common" "$list"; grep -F "$file" "$work/commands"; } >"$list.all"
done <"$work/files"
(cd "$work/keys" && sha256sum -- *.all) | sed 's/\.all$//; s/%/\//g' |
  while read -r key file; do
    if [ -e "$cache/$key" ]; then echo "$file" >>"$work/known"; else echo "$key $file" >>"$work/todo"; fi
  done

# A result is kept only if none of the project's own files it rests on was changed meanwhile.
touch "$work/started"
lint_one() {
  local key=$1 file=$2
  clang-tidy -p "$build" --quiet "$file" 2>/dev/null || return 1
  local changed
  changed=$(awk -F'\t' -v file="$file" '$1 == file && $2 !~ /^\/usr\// { print $2 }' "$work/dependencies" |
    (cd "$build" && xargs -r -d '\n' -I{} find {} -newer "$work/started" 2>/dev/null))
  [ -n "$changed" ] || touch "$cache/$key"
}
export -f lint_one
export build cache work
# The largest first, so that none is left over at the end.
while read -r key file; do
  echo "$(wc -l <"$work/keys/${file//\//%}") $key $file"
done <"$work/todo" | sort -rn | cut -d' ' -f2- |
  xargs -r -P "${POSTHATCH_LINT_JOBS:-$(nproc)}" -L 1 bash -c 'lint_one "$@"' lint
# Results that nothing has asked for in a month go.
find "$cache" -type f -mtime +30 -delete
echo "clang-tidy: $(wc -l <"$work/files") files clean ($(wc -l <"$work/known") of them known from before)"
