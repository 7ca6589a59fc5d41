#!/usr/bin/env bash
# Guards against a file that the users' platform refuses and that passes CI.
set -euo pipefail
check=$1
refused=$(cd "$(dirname "$0")" && pwd)/refused_texts.txt
folder=$(mktemp -d)
trap 'rm -r "$folder"' EXIT
mkdir "$folder/src" "$folder/tests"
echo 'void apply_vm_row();' > "$folder/src/good.cpp"
echo 'void ptrace();' > "$folder/tests/exempt.cpp"
"$check" "$folder"
examples=(
    fleetbench bench-0a1b2c kit/more more/system
    LD_PRELOAD LD_AUDIT ld.so.preload RTLD_NEXT dlvsym la_version
    ptrace PTRACE_ATTACH "run strace -f" "gdb -p" process_vm_row process_madvise pidfd_getfd pidfd_open kcmp
    userfaultfd perf_event_open uprobes /proc/self/mem
    shm_open shm_unlink shmget shmat shmdt shmctl sys/shm.h memfd_create memfd_secret /dev/shm/x MAP_SHARED
    boost/interprocess shared_memory_object managed_shared_memory
)
for text in "${examples[@]}"; do
    for place in src/bad.cpp src/new/bad.h bad.cmake .hidden; do
        mkdir -p "$folder/src/new"
        echo "void $text();" > "$folder/$place"
        if "$check" "$folder" >/dev/null 2>&1; then
            echo "check_sources accepts $text in $place"
            exit 1
        fi
        rm "$folder/$place"
    done
done
# A text without an example could be one that never matches.
grep -v '^#' "$refused" | while read -r text; do
    if ! printf '%s\n' "${examples[@]}" | grep -qiE -- "$text"; then
        echo "no example of $text"
        exit 1
    fi
done
