#!/usr/bin/env bash
# Prints the packages of a machine that has only the packages given and those that every Debian system
# has, one a line. Asks apt with no package installed, so the state of this machine does not matter.
# Usage: package_closure.sh CACHE_FOLDER PACKAGE...
set -euo pipefail
cache=$1
shift
mkdir -p "$cache"
# No package is installed in this state. apt locks the folder of the state, so each caller has its own; and
# the settings of a container image may switch off the common cache.
touch "$cache/status"
options=(-o "Dir::State::status=$cache/status" -o "Dir::Cache=$cache/" -o Dir::Cache::pkgcache=pkgcache.bin
    -o Dir::Cache::srcpkgcache=srcpkgcache.bin)
if [ ! -s "$cache/base" ]; then
    apt-cache "${options[@]}" gencaches >/dev/null
    apt-cache "${options[@]}" dumpavail |
        awk '/^Package:/ { name = $2 } /^Essential: yes/ || /^Priority: required/ { print name }' | sort -u >"$cache/base"
fi
if [ ! -s "$cache/base" ]; then
    echo "package_closure: apt has no package lists; run apt-get update" >&2
    exit 1
fi
mapfile -t base <"$cache/base"
apt-get install -s "${options[@]}" --no-install-recommends "${base[@]}" "$@" |
    sed -n 's/^Inst \([^ :]*\).*/\1/p' | sort -u
