#include "io/http_reply_reader.h"

#include <algorithm>
#include <charconv>
#include <system_error>

namespace citronford {
namespace {

constexpr std::string_view line_end = "\r\n";
constexpr std::string_view head_end = "\r\n\r\n";

/// Bytes of the longest head.
constexpr std::size_t head_limit = 65536;

/// Bytes of the longest line between chunks.
constexpr std::size_t chunk_line_limit = 1024;

constexpr int no_content = 204;
constexpr int not_modified = 304;

char lower_case(char character) {
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a')
                                                : character;
}

std::string lower_case(std::string_view text) {
    std::string result(text);
    std::ranges::transform(result, result.begin(), [](char c) { return lower_case(c); });
    return result;
}

std::string_view trimmed(std::string_view text) {
    constexpr std::string_view blanks = " \t";
    const std::size_t begin = std::min(text.find_first_not_of(blanks), text.size());
    text.remove_prefix(begin);
    return text.substr(0, text.find_last_not_of(blanks) + 1);
}

bool is_token(std::string_view text) {
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::ranges::all_of(text, [&](char c) {
        return (c >= '0' && c <= '9') || (lower_case(c) >= 'a' && lower_case(c) <= 'z') ||
               marks.find(c) != std::string_view::npos;
    });
}

/// Parses digits and nothing else.
bool parse_digits(std::string_view text, int base, std::uint64_t& number) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, base);
    return error == std::errc() && end == text.data() + text.size();
}

/// Whether the comma-separated `list` has the element `name` (lower case).
bool contains(std::string_view list, std::string_view name) {
    while (!list.empty()) {
        const std::size_t comma = std::min(list.find(','), list.size());
        if (lower_case(trimmed(list.substr(0, comma))) == name) {
            return true;
        }
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return false;
}

} // namespace

http_reply_reader::state http_reply_reader::read(std::string_view bytes) {
    state result = state::incomplete;
    while (!bytes.empty() && result == state::incomplete) {
        switch (part_) {
        case part::head:
            result = read_head(bytes);
            break;
        case part::sized_body:
            result = read_sized(bytes, part::sized_body);
            break;
        case part::chunk_data:
            result = read_sized(bytes, part::chunk_end);
            break;
        case part::chunk_size:
        case part::chunk_end:
        case part::trailer:
            result = read_chunk_line(bytes);
            break;
        case part::open_body:
            result = append(bytes) ? state::incomplete : state::too_large;
            bytes = {};
            break;
        }
    }
    has_surplus_ = has_surplus_ || !bytes.empty();
    return result;
}

http_reply_reader::state http_reply_reader::end() {
    keep_alive_ = false;
    return part_ == part::open_body ? state::complete : state::malformed;
}

http_reply_reader::state http_reply_reader::read_head(std::string_view& bytes) {
    // The end of the head may be split between two reads.
    const std::size_t known = line_.size() - std::min(line_.size(), head_end.size() - 1);
    const std::size_t room = head_limit - line_.size();
    const std::size_t before = line_.size();
    line_ += bytes.substr(0, room);
    const std::size_t end = line_.find(head_end, known);
    if (end == std::string::npos) {
        bytes = {};
        return line_.size() < head_limit ? state::incomplete : state::too_large;
    }
    bytes.remove_prefix(end + head_end.size() - before);
    const std::string head = line_.substr(0, end);
    line_.clear();
    return parse_head(head) ? begin_body() : state::malformed;
}

bool http_reply_reader::parse_head(std::string_view head) {
    const std::size_t first_end = std::min(head.find(line_end), head.size());
    if (!parse_status_line(head.substr(0, first_end))) {
        return false;
    }
    head.remove_prefix(std::min(first_end + line_end.size(), head.size()));
    while (!head.empty()) {
        const std::size_t end = std::min(head.find(line_end), head.size());
        if (!parse_header(head.substr(0, end))) {
            return false;
        }
        head.remove_prefix(std::min(end + line_end.size(), head.size()));
    }
    return true;
}

bool http_reply_reader::parse_status_line(std::string_view line) {
    constexpr std::string_view version = "HTTP/1.";
    constexpr std::size_t status_at = version.size() + 2;
    constexpr std::size_t status_digits = 3;
    if (!line.starts_with(version) || line.size() < status_at + status_digits ||
        line[status_at - 1] != ' ') {
        return false;
    }
    const char minor = line[version.size()];
    const std::string_view rest = line.substr(status_at + status_digits);
    std::uint64_t status = 0;
    constexpr std::uint64_t least_status = 100;
    if ((minor != '0' && minor != '1') || (!rest.empty() && rest.front() != ' ') ||
        !parse_digits(line.substr(status_at, status_digits), 10, status) || status < least_status) {
        return false;
    }
    reply_ = {};
    reply_.status = static_cast<int>(status);
    keep_alive_ = minor == '1';
    has_length_ = false;
    is_chunked_ = false;
    return true;
}

bool http_reply_reader::parse_header(std::string_view line) {
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || !is_token(line.substr(0, colon))) {
        return false;
    }
    const std::string_view value = trimmed(line.substr(colon + 1));
    const bool printable =
        std::ranges::all_of(value, [](unsigned char c) { return c >= ' ' || c == '\t'; });
    if (!printable) {
        return false;
    }
    reply_.headers.emplace_back(lower_case(line.substr(0, colon)), value);
    return apply_header(reply_.headers.back().first, value);
}

bool http_reply_reader::apply_header(std::string_view name, std::string_view value) {
    if (name == "content-length") {
        std::uint64_t length = 0;
        if (!parse_digits(value, 10, length) || (has_length_ && length != remaining_)) {
            return false;
        }
        has_length_ = true;
        remaining_ = length;
    } else if (name == "transfer-encoding") {
        // Any other encoding leaves open where the reply ends.
        if (is_chunked_ || lower_case(value) != "chunked") {
            return false;
        }
        is_chunked_ = true;
    } else if (name == "connection") {
        keep_alive_ = (keep_alive_ || contains(value, "keep-alive")) && !contains(value, "close");
    }
    return true;
}

http_reply_reader::state http_reply_reader::begin_body() {
    constexpr int first_final_status = 200;
    if (reply_.status < first_final_status) {
        return state::incomplete; // The final reply follows.
    }
    if (is_chunked_) {
        // Two statements of the length may be read differently by others on the connection.
        keep_alive_ = keep_alive_ && !has_length_;
        part_ = part::chunk_size;
        return state::incomplete;
    }
    if (reply_.status == no_content || reply_.status == not_modified) {
        return state::complete;
    }
    if (!has_length_) {
        part_ = part::open_body;
        return state::incomplete;
    }
    if (remaining_ > body_limit_) {
        return state::too_large;
    }
    part_ = part::sized_body;
    return remaining_ == 0 ? state::complete : state::incomplete;
}

http_reply_reader::state http_reply_reader::read_sized(std::string_view& bytes, part next) {
    const std::size_t size = std::min<std::uint64_t>(remaining_, bytes.size());
    if (!append(bytes.substr(0, size))) {
        return state::too_large;
    }
    bytes.remove_prefix(size);
    remaining_ -= size;
    if (remaining_ > 0) {
        return state::incomplete;
    }
    if (next == part::sized_body) {
        return state::complete;
    }
    part_ = next;
    return state::incomplete;
}

http_reply_reader::state http_reply_reader::read_chunk_line(std::string_view& bytes) {
    const std::size_t end = bytes.find('\n');
    const std::size_t size = end == std::string_view::npos ? bytes.size() : end + 1;
    if (line_.size() + size > chunk_line_limit) {
        return state::too_large;
    }
    line_ += bytes.substr(0, size);
    bytes.remove_prefix(size);
    if (end == std::string_view::npos) {
        return state::incomplete;
    }
    if (!line_.ends_with(line_end)) {
        return state::malformed;
    }
    line_.resize(line_.size() - line_end.size());
    const state result = apply_chunk_line();
    line_.clear();
    return result;
}

http_reply_reader::state http_reply_reader::apply_chunk_line() {
    if (part_ == part::trailer) {
        return line_.empty() ? state::complete : state::incomplete;
    }
    if (part_ == part::chunk_end) {
        part_ = part::chunk_size;
        return line_.empty() ? state::incomplete : state::malformed;
    }
    constexpr int hexadecimal = 16;
    const std::string_view line(line_);
    if (!parse_digits(trimmed(line.substr(0, line.find(';'))), hexadecimal, remaining_)) {
        return state::malformed;
    }
    part_ = remaining_ == 0 ? part::trailer : part::chunk_data;
    return state::incomplete;
}

bool http_reply_reader::append(std::string_view bytes) {
    if (bytes.size() > body_limit_ - std::min(body_limit_, reply_.body.size())) {
        return false;
    }
    reply_.body += bytes;
    return true;
}

} // namespace citronford
