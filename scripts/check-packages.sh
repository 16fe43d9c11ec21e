#!/usr/bin/env bash
# The users' machines have nothing but the packages of deploy/system.toml. Compares them with what a
# build of the deployed program uses: the files that its configure step reads (with the options of
# `build`), the headers that its objects were compiled from (as the release build recorded them), the
# libraries that it links, and the tools that `build` calls. Each of these files must come from a
# listed package or from one that a listed package depends on, and each listed package must be of
# use. Everything listed must stand in scripts/install-dependencies.sh too.
set -euo pipefail
cd "$(dirname "$0")/.."
build=build/release
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

grep '^packages' deploy/system.toml | grep -o '"[^"]*"' | tr -d '"' | sort >"$work/listed"
sed -n '/^packages=(/,/^)/p' scripts/install-dependencies.sh | sed '1d;$d' | tr -s ' \n' '\n' |
  grep . | sort >"$work/installed"
missing=$(comm -23 "$work/listed" "$work/installed")
if [ -n "$missing" ]; then
  echo "In deploy/system.toml but not in scripts/install-dependencies.sh: $missing" >&2
  exit 1
fi

# The configure step of `build`, in a folder of its own.
configure=$(sed -n 's/^build = "cmake -S \. -B target \(.*\) && cmake --build.*/\1/p' deploy/system.toml)
if [ -z "$configure" ]; then
  echo "deploy/system.toml: the configure step of build was not found" >&2
  exit 1
fi
# shellcheck disable=SC2086  # several options
cmake -S . -B "$work/configured" $configure >/dev/null
ninja -C "$work/configured" -t query build.ninja | sed 's/^ *|* *//' | grep '^/usr/' >"$work/files" || true

# Headers, and the libraries of the link.
ninja -C "$build" -t inputs posthatch-platform >"$work/inputs"
grep '\.o$' "$work/inputs" | sort >"$work/objects"
ninja -C "$build" -t deps | awk -v objects="$work/objects" '
  BEGIN { while ((getline line < objects) > 0) wanted[line] = 1 }
  /^[^ ].*: #deps/ { sub(/: #deps.*/, ""); use = ($0 in wanted) ; next }
  use && /^    \/usr\// { print substr($0, 5) }' >>"$work/files"
grep -E '^/usr/.*\.(a|so)' "$work/inputs" >>"$work/files" || true
for tool in cmake ninja c++ protoc pkg-config; do command -v "$tool" >>"$work/files"; done
sort -u "$work/files" | xargs -d '\n' readlink -f | sort -u >"$work/used"

# PACKAGE FILE lines. dpkg knows a file under the path that its package gave it, with or without
# /usr in front.
owners() {
  xargs -d '\n' dpkg-query -S 2>/dev/null | sed 's/^\([^:]*\):[^/]*/\1 /'
}
{ owners <"$work/used" || true; } >"$work/owners"
cut -d' ' -f2- "$work/owners" | tr -d ' ' | sort -u | comm -23 "$work/used" - | sed 's|^/usr||' >"$work/others"
{ owners <"$work/others" || true; } >>"$work/owners"
unowned=$(cut -d' ' -f2- "$work/owners" | tr -d ' ' | sort -u | comm -23 "$work/others" - )
if [ -n "$unowned" ]; then
  echo "The build reads files that no package owns:" >&2
  echo "$unowned" >&2
  exit 1
fi
cut -d' ' -f1 "$work/owners" | sort -u >"$work/needed"

closure() {
  apt-cache depends --recurse --installed --no-recommends --no-suggests --no-conflicts --no-breaks \
    --no-replaces --no-enhances "$@" | grep -v '^[ |<]' | cut -d: -f1 | sort -u
}
dpkg-query -W -f='${Package} ${Essential} ${Priority}\n' | awk '$2 == "yes" || $3 == "required" { print $1 }' |
  sort -u >"$work/essential"
# shellcheck disable=SC2046  # a list of names
closure $(cat "$work/listed") | sort -u - "$work/essential" >"$work/available"
unlisted=$(comm -23 "$work/needed" "$work/available")
if [ -n "$unlisted" ]; then
  echo "Used by the build, but no package in deploy/system.toml brings them:" >&2
  grep -wFf <(echo "$unlisted") "$work/owners" >&2
  exit 1
fi
# A package is of use if files of its own are read, or if without it others would be missing.
useless=""
for package in $(comm -23 "$work/listed" "$work/needed"); do
  others=$(grep -vx "$package" "$work/listed")
  # shellcheck disable=SC2086
  closure $others | sort -u - "$work/essential" >"$work/without"
  [ -n "$(comm -23 "$work/needed" "$work/without")" ] || useless="$useless $package"
done
if [ -n "$useless" ]; then
  echo "In deploy/system.toml, but the build can do without:$useless" >&2
  exit 1
fi
echo "packages: $(wc -l <"$work/listed") listed, all needed; $(wc -l <"$work/needed") that the build reads from, all brought by them"
