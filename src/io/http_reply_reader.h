#pragma once

#include "io/http_client.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace citronford {

/// Reads one HTTP/1.1 reply from the bytes of a connection. Nothing that a peer sends is more than
/// an error: a reply that breaks the protocol or exceeds a limit is reported as such.
class http_reply_reader {
  public:
    enum class state {
        incomplete, ///< More bytes are needed.
        complete,
        malformed, ///< The peer does not speak HTTP/1.1, or closed within the reply.
        too_large, ///< The head or the body exceeds its limit.
    };

    /// `body_limit` is in bytes.
    explicit http_reply_reader(std::size_t body_limit) : body_limit_(body_limit) {}

    /// Takes the next bytes of the connection. After any state but `incomplete`, no more are taken.
    state read(std::string_view bytes);

    /// The peer has closed its side of the connection.
    state end();

    /// The reply, once it is complete.
    [[nodiscard]] http_reply take_reply() { return std::move(reply_); }

    /// Whether another call may use the connection after a complete reply.
    [[nodiscard]] bool is_reusable() const { return keep_alive_ && !has_surplus_; }

  private:
    /// What the next bytes belong to.
    enum class part { head, sized_body, chunk_size, chunk_data, chunk_end, trailer, open_body };

    state read_head(std::string_view& bytes);
    bool parse_head(std::string_view head);
    bool parse_status_line(std::string_view line);
    bool parse_header(std::string_view line);
    bool apply_header(std::string_view name, std::string_view value);
    state begin_body();
    state read_sized(std::string_view& bytes, part next);
    state read_chunk_line(std::string_view& bytes);
    state apply_chunk_line();
    bool append(std::string_view bytes);

    std::size_t body_limit_;
    http_reply reply_;
    part part_ = part::head;
    std::string line_;            ///< The head, or a line between chunks, as far as it has arrived.
    std::uint64_t remaining_ = 0; ///< Bytes of the sized body or of the chunk that are missing.
    bool has_length_ = false;
    bool is_chunked_ = false;
    bool keep_alive_ = false;
    bool has_surplus_ = false; ///< Bytes came after the reply.
};

} // namespace citronford
