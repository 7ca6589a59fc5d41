#!/usr/bin/env bash
# Runs the build line of a copy of a source folder as a clean machine would, and records what it touches.
# Usage: trace_build.sh COPY WORK PROGRAM_FOLDER
# Writes to the folder WORK: `log` (output of the build), `paths` (files outside WORK that the build ran,
# read or found), `programs` (those that it ran), `written` (files outside WORK that it opened for
# writing) and `sockets` (internet sockets that it opened). PROGRAM_FOLDER is the PATH of the build.
# The build runs as an unprivileged user when this script runs as root.
set -euo pipefail
copy=$1
work=$2
program_folder=$3
here=$(cd "$(dirname "$0")" && pwd)

mkdir -p "$work/calls" "$work/tmp"
unprivileged=()
if [ "$(id -u)" -eq 0 ]; then
    nobody=65534
    chown -R "$nobody:$nobody" "$copy" "$work/calls" "$work/tmp"
    chmod 755 "$work"
    unprivileged=(setpriv --reuid "$nobody" --regid "$nobody" --clear-groups)
fi
build=$(sed -n 's/^build = "\(.*\)"$/\1/p' "$copy/deploy/system.toml")

# With -ff, the calls of each process are in a file of their own, so no call is split over two lines.
# A question mark stands before calls that some processors do not have.
calls=execve,?execveat,?open,openat,?openat2,?creat,?stat,?lstat,newfstatat,statx,?access,faccessat,?faccessat2
calls+=,?readlink,readlinkat,socket
cd "$copy"
status=0
"${unprivileged[@]}" strace -ff -qq -z -y -s 4096 --seccomp-bpf -e "trace=$calls" -o "$work/calls/process" \
    env -i PATH="$program_folder" HOME=/nonexistent LANG=C TMPDIR="$work/tmp" "$program_folder/sh" -c "$build" \
    >"$work/log" 2>&1 || status=$?
find "$work/calls" -type f -print0 | xargs -0 cat | awk -f "$here/traced_calls.awk" | sort -u >"$work/accesses"
find "$program_folder" -type l -printf '%p\t%l\n' >"$work/links"
# Prints the paths of one kind; a program that was found by PATH is named by its own path.
select_kind() {
    sed -n "s/^$1\t//p" "$work/accesses" | grep -vE "^($copy|$work/tmp|/proc|/sys|/dev)(/|$)" |
        awk -F'\t' -v folder="$program_folder" 'NR == FNR { target[$1] = $2; next }
            $0 != folder { print ($0 in target ? target[$0] : $0) }' "$work/links" - | sort -u || true
}
select_kind run >"$work/programs"
{ select_kind read; select_kind run; } | sort -u >"$work/paths"
select_kind write >"$work/written"
select_kind socket >"$work/sockets"
exit "$status"
