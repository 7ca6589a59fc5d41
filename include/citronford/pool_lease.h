#pragma once

#include "citronford/instant.h"
#include "citronford/vm_record.h"

#include <optional>

namespace citronford {

/// The fenced lease of one pool as one node sees it. Clocks of nodes are not compared: the holder
/// counts from before its last successful write, the others from when they first saw that write.
class pool_lease {
  public:
    pool_lease(node_id self, duration length) : self_(std::move(self)), length_(length) {}

    /// Takes in the row as read at `now`.
    void observe(const lease_record& row, table_version version, instant now);

    /// The node's own write of the row, sent at `sent_at`, was committed.
    void renewed(const lease_record& row, table_version version, instant sent_at);

    /// Whether the node may act on the pool at `now`.
    [[nodiscard]] bool held(instant now) const { return now < held_until_; }

    /// Whether a third of the lease has passed since the last renewal.
    [[nodiscard]] bool renewal_due(instant now) const {
        return held_until_ - now <= length_ - length_ / 3;
    }

    /// Whether the node may write the row with a new epoch: the row is absent or released, is the
    /// node's own, or was not renewed for the length of a lease and a quarter.
    [[nodiscard]] bool may_take(instant now) const;

    /// The row that takes or renews the lease.
    [[nodiscard]] lease_record claim(const pool_id& pool) const;
    /// The row that gives the lease up.
    [[nodiscard]] lease_record release(const pool_id& pool) const;

    [[nodiscard]] table_version version() const { return version_; }
    [[nodiscard]] const node_id& owner() const { return row_.owner; }
    [[nodiscard]] std::uint64_t epoch() const { return row_.epoch; }

  private:
    /// Whether the present row was written by this process, not by an earlier one of this name.
    [[nodiscard]] bool own_row() const { return own_epoch_ == row_.epoch && own_epoch_ != 0; }

    node_id self_;
    duration length_;
    lease_record row_;
    table_version version_ = absent_row;
    instant seen_at_{};           ///< When the present version was first seen.
    std::uint64_t own_epoch_ = 0; ///< Epoch that this process took; zero for none.
    instant held_until_ = instant::min();
};

} // namespace citronford
