#pragma once

#include "citronford/table_service.h"
#include "io/metrics.h"

namespace citronford {

/// Passes every call on to another table service and counts calls and failures.
class counted_table final : public table_service {
  public:
    /// Both must outlive the object and the calls under way.
    counted_table(table_service& target, metrics& registry)
        : target_(target), registry_(registry) {}

    void commit(std::span<const table_check> checks, std::span<const table_write> writes,
                commit_callback done) override;
    void scan(std::string_view prefix, table_version since, scan_callback done) override;

  private:
    void count(std::string_view name, std::string_view operation);

    table_service& target_;
    metrics& registry_;
};

} // namespace citronford
