#!/usr/bin/env bash
# Guards against a source that the users' platform refuses and that passes CI.
set -euo pipefail
check=$1
folder=$(mktemp -d)
trap 'rm -r "$folder"' EXIT
mkdir "$folder/src"
echo 'void apply_vm_row();' > "$folder/src/good.cpp"
"$check" "$folder"
for text in process_vm_row ptrace LD_PRELOAD shm_open memfd_create; do
    echo "void $text();" > "$folder/src/bad.cpp"
    if "$check" "$folder" >/dev/null 2>&1; then
        echo "check_sources accepts $text"
        exit 1
    fi
done
