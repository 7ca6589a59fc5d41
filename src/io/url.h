#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace citronford {

/// `text` with every byte outside of the unreserved set of RFC 3986 percent-encoded.
std::string url_encoded(std::string_view text);

/// The inverse of `url_encoded`; a malformed escape is kept as it is.
std::string url_decoded(std::string_view text);

/// The decoded value of `name` in a query string; empty when absent.
std::string query_value(std::string_view query, std::string_view name);

/// Whether a query asks for the effect of a change instead of the change.
bool is_dry_run(std::string_view query);

/// The decoded segments of a path; empty segments are dropped.
std::vector<std::string> path_segments(std::string_view path);

} // namespace citronford
