#pragma once

#include "citronford/timer_service.h"
#include "io/http_server.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <string_view>
#include <tuple>

namespace citronford {

/// Stand-in for the platform's metadata store: tables of rows, conditional transactions and a feed
/// of changes, in memory.
class platform_store {
  public:
    explicit platform_store(timer_service& timers) : timers_(timers), begun_(timers.now()) {}

    /// Serves a call of a daemon, after the time that a call takes.
    void handle(const http_request& request, const http_responder& responder);

    /// A write of the operator or of a backend server.
    void put(std::string_view table, std::string_view key, const nlohmann::json& value);

    /// Removes a row that the operator or a backend server has written, if it is there.
    void remove(std::string_view table, std::string_view key);

    /// While set, calls are not answered; those that were held are answered afterwards.
    void set_silent(bool silent);

    [[nodiscard]] std::uint64_t version() const { return version_; }

  private:
    /// Table, part and key of a row.
    using location = std::tuple<std::string, std::string, std::string>;

    struct stored_row {
        std::string value; ///< In base64, as the store's clients write it.
        std::uint64_t version = 0;
        bool deleted = false;
    };
    /// A call of the feed that waits for a change of its table.
    struct waiting_feed {
        std::string table;
        std::uint64_t after = 0;
        instant until;
        http_responder responder;
    };

    void serve(const std::string& path, const std::string& query, const std::string& body,
               const http_responder& responder);
    void transact(const std::string& body, const http_responder& responder);
    void read_rows(const std::string& query, const http_responder& responder);
    void read_feed(const std::string& query, const http_responder& responder);
    [[nodiscard]] bool answer_feed(const waiting_feed& feed);
    void answer_due_feeds();
    void write(const location& at, stored_row row);
    [[nodiscard]] std::uint64_t live_version(const location& at) const;
    [[nodiscard]] nlohmann::json shown(const location& at) const;
    [[nodiscard]] nlohmann::json reply_document() const;

    timer_service& timers_;
    instant begun_;
    std::map<location, stored_row> rows_;
    std::map<std::uint64_t, std::vector<location>> by_version_;
    std::uint64_t version_ = 1;
    std::list<waiting_feed> feeds_;
    timer_subscription feed_ticks_;
    bool silent_ = false;
    std::vector<std::function<void()>> held_;
};

} // namespace citronford
