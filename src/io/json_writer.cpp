#include "io/json_writer.h"

namespace citronford {
namespace {

/// The escaped form of characters that must not stand in a text as they are.
std::string escaped(char character) {
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned bits_per_digit = 4;
    constexpr unsigned digit_mask = 0xf;
    const auto code = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
        return {'\\', character};
    }
    return {'\\', 'u', '0', '0', digits[code >> bits_per_digit], digits[code & digit_mask]};
}

bool must_escape(char character) {
    constexpr unsigned char first_printable = 0x20;
    return character == '"' || character == '\\' ||
           static_cast<unsigned char>(character) < first_printable;
}

} // namespace

void json_writer::begin_object() {
    begin_value();
    text_ += '{';
    follows_value_ = false;
}

void json_writer::end_object() {
    text_ += '}';
    follows_value_ = true;
}

void json_writer::begin_array(std::string_view name) {
    write_name(name);
    text_ += '[';
    follows_value_ = false;
}

void json_writer::end_array() {
    text_ += ']';
    follows_value_ = true;
}

void json_writer::field(std::string_view name, std::string_view text) {
    write_name(name);
    write_text(text);
}

void json_writer::begin_value() {
    if (follows_value_) {
        text_ += ',';
    }
    follows_value_ = true;
}

void json_writer::write_name(std::string_view name) {
    begin_value();
    write_text(name);
    text_ += ':';
}

void json_writer::write_text(std::string_view text) {
    text_ += '"';
    for (const char character : text) {
        if (must_escape(character)) {
            text_ += escaped(character);
        } else {
            text_ += character;
        }
    }
    text_ += '"';
}

} // namespace citronford
