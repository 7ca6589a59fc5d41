#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace citronford {

/// A name of one kind of object; names of different kinds do not mix.
template <class Tag> class identifier {
  public:
    identifier() = default;
    explicit identifier(std::string_view text) : text_(text) {}

    [[nodiscard]] std::string_view view() const { return text_; }
    [[nodiscard]] const std::string& str() const { return text_; }
    [[nodiscard]] bool empty() const { return text_.empty(); }

    friend auto operator<=>(const identifier&,
                            const identifier&) = default; // NOLINT(modernize-use-nullptr)
    friend std::ostream& operator<<(std::ostream& out, const identifier& id) {
        return out << id.text_;
    }

  private:
    std::string text_;
};

using exception_id = identifier<struct exception_tag>;
using executor_id = identifier<struct executor_tag>;
using job_id = identifier<struct job_tag>;
using key_id = identifier<struct key_tag>;
using node_id = identifier<struct node_tag>;
using pool_id = identifier<struct pool_tag>;
using rack_id = identifier<struct rack_tag>;
using request_id = identifier<struct request_tag>;
using service_id = identifier<struct service_tag>;
using team_id = identifier<struct team_tag>;
using vm_id = identifier<struct vm_tag>;
using worker_id = identifier<struct worker_tag>;
using zone_id = identifier<struct zone_tag>;

/// Lower-case hexadecimal SHA-256 of a team's key; the key itself is never kept.
using key_digest = identifier<struct key_digest_tag>;

} // namespace citronford

template <class Tag> struct std::hash<citronford::identifier<Tag>> {
    std::size_t operator()(const citronford::identifier<Tag>& id) const noexcept {
        return std::hash<std::string_view>{}(id.view());
    }
};
