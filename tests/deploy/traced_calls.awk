# Prints one line for each system call of a trace that reached a file or opened an internet socket:
# its kind (run, read, write or socket), a tab, and the path or the arguments of the socket.
# A path that is relative to an unknown folder is printed as it is.
{
    call = $0
    sub(/\(.*/, "", call)
    arguments = substr($0, length(call) + 2)
}
call == "socket" {
    if (arguments ~ /^AF_INET/) { print "socket\t" arguments }
    next
}
{
    folder = ""
    if (match(arguments, /^[^"]*<[^>]*>, "/)) {
        folder = substr(arguments, 1, RLENGTH)
        sub(/^[^<]*</, "", folder)
        sub(/>, "$/, "/", folder)
    }
    if (!match(arguments, /"([^"\\]|\\.)*"/)) { next }
    path = substr(arguments, RSTART + 1, RLENGTH - 2)
    if (path == "") { next }
    if (path !~ /^\// && folder != "") { path = folder path }
    kind = "read"
    if (call ~ /^exec/) { kind = "run" }
    else if (call == "creat" || (call ~ /^open/ && arguments ~ /O_WRONLY|O_RDWR|O_CREAT/)) { kind = "write" }
    # A relative path without its folder can only be one below the folder of the build.
    if (path ~ /^\// || kind == "run") { print kind "\t" path }
}
