// The platform's store: rows in tables, conditional transactions, and a feed of changes.
#pragma once

#include "net.h"

#include <nlohmann/json.hpp>

#include <set>
#include <tuple>

namespace standin {

using nlohmann::json;

inline std::string to_base64(const std::string& text) {
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t at = 0; at < text.size(); at += 3) {
        std::uint32_t bits = 0;
        for (std::size_t i = 0; i < 3; ++i) {
            bits =
                bits << 8 | (at + i < text.size() ? static_cast<unsigned char>(text[at + i]) : 0);
        }
        for (std::size_t i = 0; i < 4; ++i) {
            out += at + i <= text.size() ? digits[bits >> (18 - 6 * i) & 63] : '=';
        }
    }
    return out;
}

inline std::string url_decoded(const std::string& text) {
    std::string out;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            out += static_cast<char>(std::strtol(text.substr(at + 1, 2).c_str(), nullptr, 16));
            at += 2;
        } else {
            out += text[at];
        }
    }
    return out;
}

/// The path of a request and the parameters behind it.
inline std::map<std::string, std::string> parameters_of(const std::string& first_line,
                                                        std::string& path) {
    const std::size_t begin = first_line.find(' ') + 1;
    const std::string target = first_line.substr(begin, first_line.find(' ', begin) - begin);
    const std::size_t question = target.find('?');
    path = target.substr(0, question);
    std::map<std::string, std::string> found;
    std::size_t at = question;
    while (at != std::string::npos) {
        const std::size_t next = target.find('&', at + 1);
        const std::string item =
            target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
        const std::size_t equals = item.find('=');
        found[item.substr(0, equals)] = url_decoded(item.substr(equals + 1));
        at = next;
    }
    return found;
}

class store {
  public:
    explicit store(loop& on)
        : loop_(on), server_(on, [this](const message& request, const server::responder& answer) {
              handle(request, answer);
          }) {}

    int port() const { return server_.port(); }

    /// Answers calls that name this table with 503, which does nothing: a partial outage.
    void set_unavailable(const std::string& table) { unavailable_ = table; }

    /// Answers all calls of the nodes with 503, which does nothing.
    void set_down(bool down) { down_ = down; }

    void put(const std::string& table, const std::string& key, const json& value) {
        ++version_;
        set_row({table, "", key}, to_base64(value.dump()));
        wake();
    }
    void remove(const std::string& table, const std::string& key) {
        ++version_;
        erase_row({table, "", key});
        wake();
    }

    /// The value of a row in base64; empty when there is none.
    std::string value(const std::string& table, const std::string& part,
                      const std::string& key) const {
        const auto found = rows_.find({table, part, key});
        return found == rows_.end() ? "" : found->second.value;
    }

  private:
    using place = std::tuple<std::string, std::string, std::string>;
    struct row {
        std::string value;
        std::int64_t version = 0;
    };
    struct change {
        std::int64_t version = 0;
        place where;
    };
    struct waiter {
        std::string table;
        std::int64_t after = 0;
        server::responder answer;
        bool answered = false;
    };

    static constexpr std::int64_t transaction_ms = 3;
    static constexpr std::int64_t read_ms = 1;

    void set_row(const place& where, const std::string& value) {
        rows_[where] = {value, version_};
        changes_.push_back({version_, where});
    }
    void erase_row(const place& where) {
        rows_.erase(where);
        changes_.push_back({version_, where});
    }

    json row_json(const place& where) const {
        json out = {{"Table", std::get<0>(where)},
                    {"part", std::get<1>(where)},
                    {"Key", std::get<2>(where)}};
        const auto found = rows_.find(where);
        if (found == rows_.end()) {
            out["Ver"] = 0;
            out["Tombstone"] = true;
        } else {
            out["Ver"] = found->second.version;
            out["Value"] = found->second.value;
        }
        return out;
    }

    json changes_of(const std::string& table, std::int64_t after) const {
        json rows = json::array();
        std::set<place> seen;
        std::vector<json> latest;
        for (auto item = changes_.rbegin(); item != changes_.rend() && item->version > after;
             ++item) {
            if (std::get<0>(item->where) == table && seen.insert(item->where).second) {
                latest.push_back(row_json(item->where));
            }
        }
        for (auto item = latest.rbegin(); item != latest.rend(); ++item) {
            rows.push_back(*item);
        }
        return rows;
    }

    json envelope(json rows) const {
        return {{"rows", std::move(rows)}, {"Ver", version_}, {"NowMs", now_ms()}};
    }

    void wake() {
        for (const auto& item : waiters_) {
            json rows = changes_of(item->table, item->after);
            if (!item->answered && !rows.empty()) {
                item->answered = true;
                item->answer(200, envelope(std::move(rows)).dump());
            }
        }
        std::erase_if(waiters_, [](const auto& item) { return item->answered; });
    }

    void handle(const message& request, const server::responder& answer) {
        std::string path;
        auto given = parameters_of(request.first_line, path);
        if (down_ || (!unavailable_.empty() && given["Table"] == unavailable_)) {
            answer(503, "{}");
        } else if (path == "/rows-tx") {
            commit(json::parse(request.body), answer);
        } else if (path == "/rows-get") {
            read(given, answer);
        } else if (path == "/rows-feed") {
            feed(given, answer);
        } else {
            answer(404, "{}");
        }
    }

    static place place_of(const json& item) {
        return {item.at("Table"), item.value("part", ""), item.at("Key")};
    }

    void commit(const json& body, const server::responder& answer) {
        json conflicts = json::array();
        bool holds = true;
        const std::size_t entries =
            body["ExpectRev"].size() + body["Puts"].size() + body["Remove"].size();
        if (entries > 100) {
            answer(400, "{}");
            return;
        }
        for (const json& item : body["ExpectRev"]) {
            const place where = place_of(item);
            const auto found = rows_.find(where);
            const std::int64_t present = found == rows_.end() ? 0 : found->second.version;
            holds = holds && present == item.value("Ver", std::int64_t{0});
            conflicts.push_back(row_json(where));
        }
        if (!holds) {
            loop_.after(transaction_ms,
                        [answer, text = envelope(conflicts).dump()] { answer(412, text); });
            return;
        }
        ++version_;
        for (const json& item : body["Puts"]) {
            set_row(place_of(item), item.at("Value"));
        }
        for (const json& item : body["Remove"]) {
            erase_row(place_of(item));
        }
        const json reply = {{"Ver", version_}, {"NowMs", now_ms()}};
        loop_.after(transaction_ms, [answer, text = reply.dump()] { answer(200, text); });
        wake();
    }

    void read(std::map<std::string, std::string>& given, const server::responder& answer) {
        const std::size_t limit =
            given.contains("Limit") ? std::strtoul(given["Limit"].c_str(), nullptr, 10) : 500;
        json rows = json::array();
        bool more = false;
        for (const auto& [where, item] : rows_) {
            const auto& [table, part, key] = where;
            if (table != given["Table"] || part != given["part"] || key < given["From"] ||
                (!given["To"].empty() && key >= given["To"])) {
                continue;
            }
            if (rows.size() == limit) {
                more = true;
                break;
            }
            rows.push_back(row_json(where));
        }
        json reply = envelope(std::move(rows));
        reply["HasMore"] = more;
        loop_.after(read_ms, [answer, text = reply.dump()] { answer(200, text); });
    }

    void feed(std::map<std::string, std::string>& given, const server::responder& answer) {
        const std::int64_t after = std::strtoll(given["After"].c_str(), nullptr, 10);
        const std::int64_t wait = std::strtoll(given["WaitMs"].c_str(), nullptr, 10);
        json rows = changes_of(given["Table"], after);
        if (!rows.empty() || wait == 0) {
            answer(200, envelope(std::move(rows)).dump());
            return;
        }
        auto item = std::make_shared<waiter>(waiter{given["Table"], after, answer, false});
        waiters_.push_back(item);
        loop_.after(wait, [this, item] {
            if (!std::exchange(item->answered, true)) {
                item->answer(200, envelope(json::array()).dump());
                std::erase(waiters_, item);
            }
        });
    }

    loop& loop_;
    std::string unavailable_;
    bool down_ = false;
    std::map<place, row> rows_;
    std::vector<change> changes_;
    std::int64_t version_ = 0;
    std::vector<std::shared_ptr<waiter>> waiters_;
    server server_;
};

} // namespace standin
