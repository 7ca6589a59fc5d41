#pragma once

#include <concepts>
#include <string>
#include <string_view>

namespace citronford {

/// Writes one JSON document front to back, without a tree of its values. The caller closes what it
/// opens; texts must be valid UTF-8.
class json_writer {
  public:
    void begin_object();
    void end_object();
    void begin_array(std::string_view name);
    void end_array();

    void field(std::string_view name, std::string_view text);
    template <std::integral Number> void field(std::string_view name, Number number) {
        write_name(name);
        text_ += std::to_string(number);
    }

    [[nodiscard]] const std::string& text() const { return text_; }

  private:
    void begin_value();
    void write_name(std::string_view name);
    void write_text(std::string_view text);

    std::string text_;
    bool follows_value_ = false; ///< Whether the next value in this object or array needs a comma.
};

} // namespace citronford
