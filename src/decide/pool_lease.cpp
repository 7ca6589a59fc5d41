#include "citronford/pool_lease.h"

namespace citronford {

void pool_lease::observe(const lease_record& row, table_version version, instant now) {
    if (version <= version_) {
        return;
    }
    row_ = row;
    version_ = version;
    seen_at_ = now;
    if (!own_row() || row.owner != self_) {
        held_until_ = instant::min();
    }
}

void pool_lease::write_committed(const lease_record& row, table_version version, instant sent_at) {
    row_ = row;
    version_ = version;
    seen_at_ = sent_at;
    own_epoch_ = row.owner == self_ ? row.epoch : 0;
    held_until_ = row.owner == self_ ? sent_at + length_ : instant::min();
}

bool pool_lease::may_acquire(instant now) const {
    return version_ == absent_row || row_.owner.empty() || (own_row() && row_.owner == self_) ||
           now - seen_at_ >= length_ + length_ / 4;
}

lease_record pool_lease::claim_record(const pool_id& pool) const {
    const bool keep = own_row() && row_.owner == self_;
    return {pool, self_, keep ? row_.epoch : row_.epoch + 1};
}

lease_record pool_lease::release_record(const pool_id& pool) const {
    return {pool, node_id(), row_.epoch};
}

} // namespace citronford
