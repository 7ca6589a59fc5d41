#include "io/compact_numbers.h"

#include "citronford/result_code.h"

#include <limits>

namespace citronford {
namespace {

/// The values of a character; the upper half says that more characters of the number follow.
constexpr std::string_view alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr std::uint32_t more_follow = 32;
constexpr int bits_per_character = 5;

absl::Status malformed() {
    return make_status(result_code::malformed_body, "a list of numbers is malformed");
}

} // namespace

std::string encode_compact(std::span<const std::uint32_t> numbers) {
    std::string text;
    for (std::uint32_t number : numbers) {
        for (; number >= more_follow; number >>= bits_per_character) {
            text += alphabet[more_follow | (number % more_follow)];
        }
        text += alphabet[number];
    }
    return text;
}

absl::StatusOr<std::vector<std::uint32_t>> decode_compact(std::string_view text) {
    std::vector<std::uint32_t> numbers;
    std::uint64_t number = 0;
    int shift = 0;
    for (const char character : text) {
        const std::size_t value = alphabet.find(character);
        if (value == std::string_view::npos) {
            return malformed();
        }
        number |= std::uint64_t{value % more_follow} << shift;
        if (number > std::numeric_limits<std::uint32_t>::max()) {
            return malformed();
        }
        if (value >= more_follow) {
            shift += bits_per_character;
            constexpr int last_shift = 30;
            if (shift > last_shift) {
                return malformed();
            }
            continue;
        }
        numbers.push_back(static_cast<std::uint32_t>(number));
        number = 0;
        shift = 0;
    }
    if (shift != 0) {
        return malformed();
    }
    return numbers;
}

} // namespace citronford
