#include "io/peer_frame.h"

#include "citronford/result_code.h"
#include "io/digest.h"

namespace citronford {
namespace {

constexpr std::size_t prefix_bytes = 4;
constexpr std::size_t digest_bytes = 32;
constexpr unsigned bits_per_byte = 8;

std::string big_endian(std::uint64_t number, std::size_t bytes) {
    std::string text;
    for (std::size_t index = bytes; index > 0; --index) {
        text += static_cast<char>((number >> ((index - 1) * bits_per_byte)) & 0xffU);
    }
    return text;
}

} // namespace

std::string frame_seal::digest(std::string_view content) const {
    std::string text = key_ + big_endian(number_, sizeof number_);
    text += content;
    return hmac_sha256(secret_, text);
}

std::string frame_seal::sealed(std::string_view content) {
    std::string frame = big_endian(digest_bytes + content.size(), prefix_bytes);
    frame += digest(content);
    frame += content;
    ++number_;
    return frame;
}

absl::StatusOr<std::optional<std::string>> frame_seal::opened(std::string& input) {
    if (input.size() < prefix_bytes) {
        return std::nullopt;
    }
    std::size_t length = 0;
    for (std::size_t index = 0; index < prefix_bytes; ++index) {
        length = (length << bits_per_byte) | static_cast<unsigned char>(input[index]);
    }
    if (length < digest_bytes || length > frame_limit) {
        return make_status(result_code::peer_rejected, "the length of a frame is out of range");
    }
    if (input.size() < prefix_bytes + length) {
        return std::nullopt;
    }
    const std::string_view frame = std::string_view(input).substr(prefix_bytes, length);
    std::string content(frame.substr(digest_bytes));
    if (!equal_secrets(frame.substr(0, digest_bytes), digest(content))) {
        return make_status(result_code::peer_rejected, "a frame is not authentic");
    }
    ++number_;
    input.erase(0, prefix_bytes + length);
    return content;
}

} // namespace citronford
