#!/usr/bin/env bash
# Reads paths, one a line, and prints for each regular file the package that owns it, a tab and the path.
# A path that is a symbolic link stands for each link on the way and for the file at the end.
# The package is `-` for a file that no package owns. Links that update-alternatives manages are left out.
set -euo pipefail
work=$(mktemp -d)
trap 'rm -r "$work"' EXIT
xargs -r -d '\n' realpath -sq -- | sort -u >"$work/new"
: >"$work/all"
while [ -s "$work/new" ]; do
    sort -u "$work/all" "$work/new" >"$work/sum"
    mv "$work/sum" "$work/all"
    xargs -r -d '\n' sh -c 'find "$@" -maxdepth 0 -type l -printf "%h\t%l\n"' find <"$work/new" |
        awk -F'\t' '{ print ($2 ~ /^\// ? $2 : $1 "/" $2) }' | xargs -r -d '\n' realpath -sq -- | sort -u |
        comm -23 - "$work/all" >"$work/next"
    mv "$work/next" "$work/new"
done
# Links into /etc/alternatives have no owner; what they lead to has.
xargs -r -d '\n' sh -c 'find "$@" -maxdepth 0 -xtype f ! -lname "/etc/alternatives/*" ! -path "/etc/alternatives/*" -print' find \
    <"$work/all" | sort -u >"$work/files"
# Some packages list /lib and /bin, some /usr/lib and /usr/bin, which are the same folders.
sed -E 's|^/usr/(s?bin\|lib[^/]*)/|/\1/|' "$work/files" | sort -u "$work/files" - \
    <(sed -E 's|^/(s?bin\|lib[^/]*)/|/usr/\1/|' "$work/files") >"$work/asked"
xargs -r -d '\n' dpkg -S -- <"$work/asked" 2>/dev/null | grep -v '^diversion by ' >"$work/owned" || true
awk -F': ' '
    function canonical(path) { sub(/^\/usr\//, "/", path); return path }
    NR == FNR { sub(/:[a-z0-9]+(,.*)?$/, "", $1); sub(/,.*/, "", $1); owner[canonical($2)] = $1; next }
    { path = canonical($0); print (path in owner ? owner[path] : "-") "\t" $0 }
' "$work/owned" "$work/files"
