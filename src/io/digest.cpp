#include "io/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <vector>

namespace citronford {
namespace {

constexpr std::size_t sha256_bytes = 32;

std::string hex(const unsigned char* data, std::size_t size) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (std::size_t index = 0; index < size; ++index) {
        text += digits[data[index] >> 4U];
        text += digits[data[index] & 15U];
    }
    return text;
}

} // namespace

key_digest digest_of_key(std::string_view key) {
    unsigned char digest[sha256_bytes] = {};
    EVP_Digest(key.data(), key.size(), static_cast<unsigned char*>(digest), nullptr, EVP_sha256(),
               nullptr);
    return key_digest(hex(static_cast<unsigned char*>(digest), sha256_bytes));
}

std::string hmac_sha256(std::string_view secret, std::string_view message) {
    unsigned char digest[sha256_bytes] = {};
    unsigned size = sha256_bytes;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char*>(message.data()), message.size(),
         static_cast<unsigned char*>(digest), &size);
    return {reinterpret_cast<const char*>(digest), size};
}

bool equal_secrets(std::string_view left, std::string_view right) {
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string random_hex(std::size_t bytes) {
    std::vector<unsigned char> data(bytes);
    RAND_bytes(data.data(), static_cast<int>(bytes));
    return hex(data.data(), bytes);
}

key_digest presented_digest(std::string_view authorization) {
    constexpr std::string_view bearer = "Bearer ";
    if (!authorization.starts_with(bearer)) {
        return {};
    }
    return digest_of_key(authorization.substr(bearer.size()));
}

} // namespace citronford
