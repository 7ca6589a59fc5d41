#pragma once

namespace citronford {

/// Makes the process write a last line to its log before it ends by an exception that nothing
/// catches (`fatal_exception`) or by a fatal signal (`fatal_signal`). Called once, at start. An end
/// by SIGKILL leaves no line.
void log_fatal_ends();

} // namespace citronford
