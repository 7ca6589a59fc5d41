#include "stop_series/platform_store.h"

#include "io/url.h"
#include "platform/base64.h"

#include <algorithm>
#include <utility>

namespace citronford {
namespace {

using nlohmann::json;

/// Time that the store takes for a transaction and for a read.
constexpr duration transaction_time = milliseconds(3);
constexpr duration read_time = milliseconds(1);

constexpr duration feed_tick_period = milliseconds(50);

/// Most rows in the reply to one read.
constexpr std::size_t max_page_rows = 500;

json parse_object(const std::string& text) {
    json document = json::parse(text, nullptr, false);
    return document.is_object() ? document : json::object();
}

} // namespace

void platform_store::handle(const http_request& request, const http_responder& responder) {
    auto call = [this, path = std::string(request.path), query = std::string(request.query),
                 body = std::string(request.body),
                 responder] { serve(path, query, body, responder); };
    if (silent_) {
        held_.push_back(std::move(call));
        return;
    }
    timers_.once(request.method == "POST" ? transaction_time : read_time,
                 [call = std::move(call)](instant) { call(); });
}

void platform_store::set_silent(bool silent) {
    silent_ = silent;
    if (silent) {
        return;
    }
    for (const auto& call : std::exchange(held_, {})) {
        call();
    }
}

void platform_store::serve(const std::string& path, const std::string& query,
                           const std::string& body, const http_responder& responder) {
    if (path == "/rows-tx") {
        transact(body, responder);
    } else if (path == "/rows-get") {
        read_rows(query, responder);
    } else if (path == "/rows-feed") {
        read_feed(query, responder);
    } else {
        responder.send({404, {}, "{}"});
    }
}

void platform_store::put(std::string_view table, std::string_view key, const json& value) {
    ++version_;
    write({std::string(table), "", std::string(key)},
          {wire::to_base64(value.dump()), version_, false});
    answer_due_feeds();
}

void platform_store::remove(std::string_view table, std::string_view key) {
    const location at{std::string(table), "", std::string(key)};
    if (live_version(at) != 0) {
        write(at, {"", ++version_, true});
        answer_due_feeds();
    }
}

void platform_store::write(const location& at, stored_row row) {
    by_version_[row.version].push_back(at);
    rows_[at] = std::move(row);
}

std::uint64_t platform_store::live_version(const location& at) const {
    const auto found = rows_.find(at);
    return found == rows_.end() || found->second.deleted ? 0 : found->second.version;
}

json platform_store::shown(const location& at) const {
    const stored_row& row = rows_.at(at);
    const auto& [table, part, key] = at;
    json document = {{"Table", table}, {"part", part}, {"Key", key}, {"Ver", row.version}};
    if (row.deleted) {
        document["Tombstone"] = true;
    } else {
        document["Value"] = row.value;
    }
    return document;
}

json platform_store::reply_document() const {
    return {{"Ver", version_}, {"NowMs", to_ms(timers_.now() - begun_)}};
}

void platform_store::transact(const std::string& body, const http_responder& responder) {
    const json call = parse_object(body);
    const auto location_of = [](const json& entry) {
        return location(entry.at("Table").get<std::string>(), entry.value("part", ""),
                        entry.at("Key").get<std::string>());
    };
    const auto entries = [&](const char* name) { return call.value(name, json::array()); };
    bool holds = true;
    json present = json::array();
    for (const json& check : entries("ExpectRev")) {
        const location at = location_of(check);
        const std::uint64_t version = live_version(at);
        holds = holds && version == check.at("Ver").get<std::uint64_t>();
        if (version != 0) {
            present.push_back(shown(at));
        }
    }
    if (!holds) {
        json reply = reply_document();
        reply["rows"] = std::move(present);
        responder.send({412, {}, reply.dump()});
        return;
    }
    ++version_;
    for (const json& entry : entries("Puts")) {
        write(location_of(entry), {entry.at("Value").get<std::string>(), version_, false});
    }
    for (const json& entry : entries("Remove")) {
        const location at = location_of(entry);
        if (rows_.contains(at)) {
            write(at, {"", version_, true});
        }
    }
    responder.send({200, {}, reply_document().dump()});
    answer_due_feeds();
}

void platform_store::read_rows(const std::string& query, const http_responder& responder) {
    const std::string table = query_value(query, "Table");
    const std::string part = query_value(query, "part");
    const std::string to = query_value(query, "To");
    std::size_t limit = max_page_rows;
    const std::string asked = query_value(query, "Limit");
    if (!asked.empty()) {
        limit = std::min<std::size_t>(limit, std::stoul(asked));
    }
    json rows = json::array();
    bool has_more = false;
    for (auto row = rows_.lower_bound({table, part, query_value(query, "From")});
         row != rows_.end(); ++row) {
        const auto& [row_table, row_part, key] = row->first;
        if (row_table != table || row_part != part || (!to.empty() && key >= to)) {
            break;
        }
        if (row->second.deleted) {
            continue;
        }
        has_more = rows.size() == limit;
        if (has_more) {
            break;
        }
        rows.push_back(shown(row->first));
    }
    json reply = reply_document();
    reply["rows"] = std::move(rows);
    reply["HasMore"] = has_more;
    responder.send({200, {}, reply.dump()});
}

void platform_store::read_feed(const std::string& query, const http_responder& responder) {
    const auto number = [&](const char* name) {
        return std::strtoull(query_value(query, name).c_str(), nullptr, 10);
    };
    waiting_feed feed{query_value(query, "Table"), number("After"),
                      timers_.now() + milliseconds(number("WaitMs")), responder};
    if (!answer_feed(feed)) {
        feeds_.push_back(std::move(feed));
    }
    if (!feed_ticks_.active()) {
        feed_ticks_ = timers_.every(feed_tick_period, [this](instant) { answer_due_feeds(); });
    }
}

bool platform_store::answer_feed(const waiting_feed& feed) {
    json rows = json::array();
    for (auto change = by_version_.upper_bound(feed.after); change != by_version_.end(); ++change) {
        for (const location& at : change->second) {
            if (std::get<0>(at) == feed.table && rows_.at(at).version == change->first) {
                rows.push_back(shown(at));
            }
        }
    }
    if (rows.empty() && timers_.now() < feed.until) {
        return false;
    }
    json reply = reply_document();
    reply["rows"] = std::move(rows);
    feed.responder.send({200, {}, reply.dump()});
    return true;
}

void platform_store::answer_due_feeds() {
    if (!silent_) {
        feeds_.remove_if([this](const waiting_feed& feed) { return answer_feed(feed); });
    }
}

} // namespace citronford
