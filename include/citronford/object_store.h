#pragma once

#include <absl/status/statusor.h>

#include <functional>
#include <string>
#include <string_view>

namespace citronford {

/// The platform's object store. Objects are replaced as a whole.
class object_store {
  public:
    using put_callback = std::function<void(absl::Status)>;
    using get_callback = std::function<void(absl::StatusOr<std::string>)>;

    object_store() = default;
    object_store(const object_store&) = delete;
    object_store& operator=(const object_store&) = delete;
    object_store(object_store&&) = delete;
    object_store& operator=(object_store&&) = delete;
    virtual ~object_store() = default;

    virtual void put(std::string_view name, std::string_view content, put_callback done) = 0;

    /// Fails with `not_found` when there is no such object.
    virtual void get(std::string_view name, get_callback done) = 0;
};

} // namespace citronford
