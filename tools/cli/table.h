#pragma once

#include <string>
#include <string_view>

namespace citronford {

/// A JSON document as readable text: an object as `name  value` lines, a list of objects as a table
/// with one column a member, nested lists as tables of their own. Other text is returned unchanged.
std::string readable(std::string_view document);

} // namespace citronford
