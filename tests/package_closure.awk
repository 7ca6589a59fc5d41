# Prints the packages that the wanted ones (one a line, in the second file) and the essential ones
# need, from the list of installed packages in the first file.
function names(text, list,    count, i) {
    count = split(text, list, /[,|]/)
    for (i = 1; i <= count; i++) { gsub(/\([^)]*\)|:[a-z0-9]+|[ \t]/, "", list[i]) }
    return count
}
NR != FNR { pending[++last] = $1; next }
{
    depends[$1] = $4
    if ($2 == "yes") { pending[++last] = $1 }
    count = names($3, provided)
    for (i = 1; i <= count; i++) { providers[provided[i]] = providers[provided[i]] "," $1 }
}
END {
    for (first = 1; first <= last; first++) {
        package = pending[first]
        if (package == "" || seen[package]++) { continue }
        print package
        count = names(depends[package] providers[package], needed)
        for (i = 1; i <= count; i++) { pending[++last] = needed[i] }
    }
}
