#pragma once

#include "citronford/instant.h"
#include "citronford/vm_record.h"

#include <optional>

namespace citronford {

/// The lease of one pool, with an epoch as fencing token, from the point of view of one node.
/// Clocks of nodes are not compared: the holder measures the lease from before it sent its last
/// successful write, the other nodes from the time at which they first read that write.
class pool_lease {
  public:
    pool_lease(node_id self, duration length) : self_(std::move(self)), length_(length) {}

    /// Records the lease row as read at `now`; a version that is not newer is ignored.
    void observe(const lease_record& row, table_version version, instant now);

    /// Records that a write of the row by this node, sent at `sent_at`, was committed. The write
    /// may have acquired, renewed or released the lease.
    void write_committed(const lease_record& row, table_version version, instant sent_at);

    /// Whether this node holds the lease at `now` and may act on the pool.
    [[nodiscard]] bool held(instant now) const { return now < held_until_; }

    /// Whether a third of the lease duration has passed since the last renewal was sent.
    [[nodiscard]] bool renewal_due(instant now) const {
        return held_until_ - now <= length_ - length_ / 3;
    }

    /// Whether the node may try to acquire the lease: the row is absent or released, was written by
    /// this process, or has not been renewed for 1.25 times the lease duration.
    [[nodiscard]] bool may_acquire(instant now) const;

    /// The row that acquires the lease, with the next epoch, or renews it.
    [[nodiscard]] lease_record claim_record(const pool_id& pool) const;
    /// The row that releases the lease.
    [[nodiscard]] lease_record release_record(const pool_id& pool) const;

    [[nodiscard]] table_version version() const { return version_; }
    [[nodiscard]] const node_id& owner() const { return row_.owner; }
    [[nodiscard]] std::uint64_t epoch() const { return row_.epoch; }

  private:
    /// Whether this process wrote the current row. An earlier process under the same node name does
    /// not count.
    [[nodiscard]] bool own_row() const { return own_epoch_ == row_.epoch && own_epoch_ != 0; }

    node_id self_;
    duration length_;
    lease_record row_;
    table_version version_ = absent_row;
    instant seen_at_{};           ///< When the current version was first read.
    std::uint64_t own_epoch_ = 0; ///< Epoch that this process acquired; zero if none.
    instant held_until_ = instant::min();
};

} // namespace citronford
