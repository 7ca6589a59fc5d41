#pragma once

#include "citronford/peer_link.h"
#include "citronford/table_service.h"

#include <trompeloeil.hpp>

namespace citronford {

class mock_table_service : public table_service {
  public:
    MAKE_MOCK3(commit,
               void(std::span<const table_check>, std::span<const table_write>, commit_callback),
               override);
    MAKE_MOCK3(scan, void(std::string_view, table_version, scan_callback), override);
};

class mock_peer_link : public peer_link {
  public:
    MAKE_MOCK2(send, void(const member_id&, const send_peer&), override);
    MAKE_MOCK2(on_receive, void(receiver, refusal), override);
};

} // namespace citronford
