// Stand-ins for the users' platform: the metadata store, the list of machines, and executors.
#pragma once

#include "http.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <condition_variable>
#include <fstream>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

namespace review {

using nlohmann::json;
using clock = std::chrono::steady_clock;

/// What was sent, answered and run, with the time since the start in milliseconds.
class record {
  public:
    explicit record(const std::string& path) : file_(path), begun_(clock::now()) {}

    [[nodiscard]] std::int64_t now_ms() const {
        return std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - begun_).count();
    }

    void write(const std::string& text) {
        const std::lock_guard lock(mutex_);
        file_ << now_ms() << " ms  " << text << std::endl;
    }

  private:
    std::mutex mutex_;
    std::ofstream file_;
    clock::time_point begun_;
};

inline std::string to_base64(const std::string& bytes) {
    constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t byte = 0; byte < 3; ++byte) {
            group = group << 8 |
                    (at + byte < bytes.size() ? static_cast<unsigned char>(bytes[at + byte]) : 0U);
        }
        for (std::size_t digit = 0; digit < 4; ++digit) {
            text += at + digit <= bytes.size() ? digits[group >> (18 - 6 * digit) & 63] : '=';
        }
    }
    return text;
}

/// Size of the bytes that a base64 text stands for.
inline std::size_t decoded_size(const std::string& text) {
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=') {
        ++padding;
    }
    return text.size() / 4 * 3 - padding;
}

/// The platform's metadata store, within the limits that its page and the settings name.
class store {
  public:
    static constexpr std::size_t row_bytes = 65536;
    static constexpr std::size_t call_bytes = 1000000;
    static constexpr std::size_t call_entries = 100;

    explicit store(record& log) : log_(log), begun_(clock::now()) {}

    response handle(const request& call) {
        if (call.path == "/rows-tx") {
            return transact(call.body);
        }
        if (call.path == "/rows-get") {
            return get(call.query);
        }
        if (call.path == "/rows-feed") {
            return feed(call.query);
        }
        return {404, "{}"};
    }

    /// A write of the operator or of an executor.
    void put(const std::string& table, const std::string& key, const json& value) {
        const std::lock_guard lock(mutex_);
        ++version_;
        write({table, "", key}, {to_base64(value.dump()), version_, false});
        changed_.notify_all();
    }

    /// Adds rows as they were written in the past: for each row whose key is `key`, one with the
    /// same table, part and value, and the key `name(number)` for each number below `count`.
    /// Returns how many rows of `key` there are.
    std::size_t add_past_rows(const std::string& key, std::size_t count,
                              const std::function<std::string(std::size_t)>& name) {
        std::vector<std::pair<location, row>> found;
        {
            const std::lock_guard lock(mutex_);
            for (const auto& [at, present] : rows_) {
                if (std::get<2>(at) == key && !present.dropped) {
                    found.emplace_back(at, present);
                }
            }
        }
        for (const auto& [at, present] : found) {
            for (std::size_t number = 0; number < count; ++number) {
                // Calls are served meanwhile.
                const std::lock_guard lock(mutex_);
                write({std::get<0>(at), std::get<1>(at), name(number)},
                      {present.value, ++past_version_, false});
            }
        }
        return found.size();
    }

    [[nodiscard]] std::uint64_t oversized() const { return oversized_; }

  private:
    using location = std::tuple<std::string, std::string, std::string>;
    struct row {
        std::string value;
        std::uint64_t version = 0;
        bool dropped = false;
    };

    void write(const location& at, row present) {
        const auto [place, added] = rows_.try_emplace(at);
        if (!added) {
            by_version_.erase({place->second.version, at});
        }
        by_version_.emplace(present.version, at);
        place->second = std::move(present);
    }

    static location location_of(const json& entry) {
        return {entry.at("Table"), entry.value("part", ""), entry.at("Key")};
    }

    [[nodiscard]] json shown(const location& at, const row& present) const {
        json document = {{"Table", std::get<0>(at)},
                         {"part", std::get<1>(at)},
                         {"Key", std::get<2>(at)},
                         {"Ver", present.version}};
        if (present.dropped) {
            document["Tombstone"] = true;
        } else {
            document["Value"] = present.value;
        }
        return document;
    }

    [[nodiscard]] json tail() const {
        return {
            {"Ver", version_},
            {"NowMs",
             std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - begun_).count()}};
    }

    response transact(const std::string& body) {
        const json call = json::parse(body, nullptr, false);
        if (!call.is_object()) {
            return {400, "{}"};
        }
        const json checks = call.value("ExpectRev", json::array());
        const json puts = call.value("Puts", json::array());
        const json removals = call.value("Remove", json::array());
        std::set<std::string> parts;
        for (const json* list : {&checks, &puts, &removals}) {
            for (const json& entry : *list) {
                parts.insert(entry.value("part", ""));
            }
        }
        for (const json& entry : puts) {
            if (decoded_size(entry.at("Value")) > row_bytes) {
                if (oversized_++ == 0) {
                    log_.write("store: refuses a call with 400, row " +
                               entry.at("Key").get<std::string>() + " has " +
                               std::to_string(decoded_size(entry.at("Value"))) +
                               " bytes; the limit is " + std::to_string(row_bytes));
                }
                return {400, "{}"};
            }
            if (entry.at("Table") == "op" || entry.at("Table") == "servers") {
                return {403, "{}"};
            }
        }
        if (body.size() > call_bytes ||
            checks.size() + puts.size() + removals.size() > call_entries ||
            (parts.size() > 1 && !call.value("Across", false))) {
            log_.write("store: refuses a call with 400, " + std::to_string(body.size()) + " bytes");
            return {400, "{}"};
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(3));
        const std::lock_guard lock(mutex_);
        bool holds = true;
        json current = json::array();
        for (const json& check : checks) {
            const auto found = rows_.find(location_of(check));
            const bool present = found != rows_.end() && !found->second.dropped;
            const std::uint64_t version = present ? found->second.version : 0;
            holds = holds && version == check.at("Ver").get<std::uint64_t>();
            if (present) {
                current.push_back(shown(found->first, found->second));
            }
        }
        json reply = tail();
        if (!holds) {
            reply["rows"] = current;
            return {412, reply.dump()};
        }
        ++version_;
        for (const json& entry : puts) {
            write(location_of(entry), {entry.at("Value"), version_, false});
        }
        for (const json& entry : removals) {
            const auto found = rows_.find(location_of(entry));
            if (found != rows_.end()) {
                write(found->first, {"", version_, true});
            }
        }
        changed_.notify_all();
        reply["Ver"] = version_;
        return {200, reply.dump()};
    }

    static std::string value_of(const std::map<std::string, std::string>& query, const char* name) {
        const auto found = query.find(name);
        return found == query.end() ? "" : found->second;
    }

    response get(const std::map<std::string, std::string>& query) {
        const std::string table = value_of(query, "Table");
        const std::string part = value_of(query, "part");
        const std::string from = value_of(query, "From");
        const std::string to = value_of(query, "To");
        std::size_t limit = 500;
        if (!value_of(query, "Limit").empty()) {
            limit = std::min<std::size_t>(limit, std::stoul(value_of(query, "Limit")));
        }
        const std::lock_guard lock(mutex_);
        json found = json::array();
        bool more = false;
        for (auto at = rows_.lower_bound({table, part, from}); at != rows_.end(); ++at) {
            const auto& [row_table, row_part, key] = at->first;
            if (row_table != table || row_part != part || (!to.empty() && key >= to)) {
                break;
            }
            if (at->second.dropped) {
                continue;
            }
            if (found.size() == limit) {
                more = true;
                break;
            }
            found.push_back(shown(at->first, at->second));
        }
        json reply = tail();
        reply["rows"] = found;
        reply["HasMore"] = more;
        return {200, reply.dump()};
    }

    response feed(const std::map<std::string, std::string>& query) {
        const std::string table = value_of(query, "Table");
        const std::uint64_t after = std::stoull(value_of(query, "After"));
        const std::int64_t wait_ms =
            std::min<std::int64_t>(30000, std::stoll("0" + value_of(query, "WaitMs")));
        const auto deadline = clock::now() + std::chrono::milliseconds(wait_ms);
        std::unique_lock lock(mutex_);
        while (true) {
            std::vector<const location*> changes;
            for (auto at = by_version_.upper_bound({after, {}}); at != by_version_.end(); ++at) {
                if (at->first > after && std::get<0>(at->second) == table) {
                    changes.push_back(&at->second);
                }
            }
            if (!changes.empty() || clock::now() >= deadline) {
                json reply = tail();
                reply["rows"] = json::array();
                for (const location* at : changes) {
                    reply["rows"].push_back(shown(*at, rows_.at(*at)));
                }
                return {200, reply.dump()};
            }
            changed_.wait_until(lock, deadline);
        }
    }

    record& log_;
    clock::time_point begun_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<location, row> rows_;
    std::set<std::pair<std::uint64_t, location>> by_version_;
    std::uint64_t past_version_ = 0;
    std::uint64_t version_ = 10000000; ///< Lower versions are those of the past.
    std::uint64_t oversized_ = 0;
};

/// How the tasks of an executor behave.
struct task_end {
    std::int64_t after_ms = 0;
    std::string how = "done";
};

/// One begun run, as an executor has seen it.
struct run_record {
    std::string task;
    std::uint32_t run = 0;
    std::string executor;
    std::int64_t begun_ms = 0;
    std::int64_t ended_ms = -1;
    std::string how;
    std::int64_t noted_ms = -1; ///< When the end was taken note of.
    bool lapsed = false;        ///< The lease expired between the end and its note.
};

/// All runs of all executors, in the order of their starts.
class run_book {
  public:
    std::mutex mutex;
    std::vector<std::shared_ptr<run_record>> runs;
};

/// An executor that runs tasks under leases, as the page on running tasks says.
class executor {
  public:
    using behaviour = std::function<task_end(const std::string& task, std::uint32_t run)>;

    executor(std::string id, std::int64_t hold_max_ms, run_book& book, record& log, behaviour ends)
        : id_(std::move(id)), hold_max_ms_(hold_max_ms), book_(book), log_(log),
          ends_(std::move(ends)), born_(clock::now()),
          born_unix_ms_(std::chrono::duration_cast<std::chrono::milliseconds>(
                            std::chrono::system_clock::now().time_since_epoch())
                            .count()) {
        port_ = serve([this](const request& call) { return handle(call); });
        std::thread([this] {
            while (true) {
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
                const std::lock_guard lock(mutex_);
                advance();
            }
        }).detach();
    }

    [[nodiscard]] const std::string& id() const { return id_; }
    [[nodiscard]] std::uint16_t port() const { return port_; }
    [[nodiscard]] std::int64_t born_unix_ms() const { return born_unix_ms_; }

    [[nodiscard]] std::size_t running() {
        const std::lock_guard lock(mutex_);
        return running_.size();
    }
    [[nodiscard]] std::size_t listed_ends() {
        const std::lock_guard lock(mutex_);
        return ended_.size();
    }

  private:
    struct active_run {
        std::uint32_t run = 0;
        std::int64_t ends_at_ms = 0;
        std::string how;
        std::shared_ptr<run_record> entry;
    };
    struct listed_end {
        std::uint64_t number = 0;
        std::string task;
        std::uint32_t run = 0;
        std::string how;
        std::shared_ptr<run_record> entry;
    };

    [[nodiscard]] std::int64_t now_ms() const {
        return std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - born_).count() +
               1000;
    }

    response handle(const request& call) {
        const auto expected = call.headers.find("expect-instance");
        if (expected != call.headers.end() && expected->second != id_) {
            return {421, "{}"};
        }
        const json body = json::parse(call.body, nullptr, false);
        if (!body.is_object()) {
            return {400, "{}"};
        }
        std::unique_lock lock(mutex_);
        advance();
        const auto token = body.value("FencingToken", std::uint64_t{0});
        if (token < token_) {
            return refusal("fence");
        }
        token_ = token;
        if (call.path == "/run-start") {
            return start(body);
        }
        if (call.path == "/run-stop") {
            return stop(body);
        }
        if (call.path == "/hold") {
            return hold(body, lock);
        }
        return {404, "{}"};
    }

    [[nodiscard]] response refusal(const char* reason) const {
        return {409,
                json{{"ClockMs", now_ms()}, {"born", born_unix_ms_}, {"Reason", reason}}.dump()};
    }

    void extend(const json& body) {
        if (body.contains("DeadlineMs")) {
            deadline_ms_ =
                std::max(deadline_ms_, std::min(body.at("DeadlineMs").get<std::int64_t>(),
                                                now_ms() + hold_max_ms_));
        }
    }

    response start(const json& body) {
        const std::string task = body.at("Task");
        const auto run = body.at("Run").get<std::uint32_t>();
        if (body.at("DeadlineMs").get<std::int64_t>() <= now_ms()) {
            return refusal("late");
        }
        extend(body);
        const auto present = running_.find(task);
        if (present != running_.end() && present->second.run == run) {
            return accepted();
        }
        const auto highest = highest_.find(task);
        if (present != running_.end() || (highest != highest_.end() && run <= highest->second)) {
            return refusal("old");
        }
        const task_end plan = ends_(task, run);
        auto entry = std::make_shared<run_record>();
        entry->task = task;
        entry->run = run;
        entry->executor = id_;
        entry->begun_ms = log_.now_ms();
        {
            const std::lock_guard lock(book_.mutex);
            book_.runs.push_back(entry);
        }
        running_[task] = {run, now_ms() + plan.after_ms, plan.how, entry};
        return accepted();
    }

    response stop(const json& body) {
        const std::string task = body.at("Task");
        const auto run = body.at("Run").get<std::uint32_t>();
        std::uint32_t& highest = highest_[task];
        highest = std::max(highest, run);
        const auto present = running_.find(task);
        if (present != running_.end() && present->second.run <= run) {
            present->second.how = "stopped";
            present->second.ends_at_ms = std::min(present->second.ends_at_ms, now_ms() + 50);
        }
        return accepted();
    }

    [[nodiscard]] response accepted() const {
        return {200, json{{"ClockMs", now_ms()}, {"born", born_unix_ms_}}.dump()};
    }

    response hold(const json& body, std::unique_lock<std::mutex>& lock) {
        extend(body);
        const auto seen = body.value("SeenUpto", std::uint64_t{0});
        while (!ended_.empty() && ended_.front().number <= seen) {
            const std::lock_guard book_lock(book_.mutex);
            ended_.front().entry->noted_ms = log_.now_ms();
            ended_.erase(ended_.begin());
        }
        const auto until = clock::now() + std::chrono::milliseconds(std::min<std::int64_t>(
                                              2000, body.value("WaitMs", std::int64_t{0})));
        while (ended_.empty() && clock::now() < until) {
            end_listed_.wait_until(lock, until);
        }
        json running = json::array();
        for (const auto& [task, active] : running_) {
            running.push_back({task, active.run, "", 100, 0});
        }
        json ended = json::array();
        constexpr std::size_t listed_at_once = 500;
        for (const listed_end& item : ended_) {
            if (ended.size() == listed_at_once) {
                break;
            }
            ended.push_back({item.number, item.task, item.run, item.how, ""});
        }
        return {200, json{{"ClockMs", now_ms()},
                          {"born", born_unix_ms_},
                          {"Running", running},
                          {"Ended", ended}}
                         .dump()};
    }

    void end(const std::string& task, const active_run& active, const std::string& how) {
        {
            const std::lock_guard lock(book_.mutex);
            active.entry->ended_ms = log_.now_ms();
            active.entry->how = how;
        }
        std::uint32_t& highest = highest_[task];
        highest = std::max(highest, active.run);
        ended_.push_back({++last_end_, task, active.run, how, active.entry});
        end_listed_.notify_all();
    }

    void advance() {
        const std::int64_t now = now_ms();
        if (deadline_ms_ > 0 && now >= deadline_ms_) {
            for (const auto& [task, active] : running_) {
                end(task, active, "lapsed");
            }
            running_.clear();
            for (const listed_end& item : ended_) {
                item.entry->lapsed = true;
            }
            deadline_ms_ = 0;
        }
        for (auto at = running_.begin(); at != running_.end();) {
            if (now >= at->second.ends_at_ms) {
                end(at->first, at->second, at->second.how);
                at = running_.erase(at);
            } else {
                ++at;
            }
        }
    }

    std::string id_;
    std::int64_t hold_max_ms_;
    run_book& book_;
    record& log_;
    behaviour ends_;
    clock::time_point born_;
    std::int64_t born_unix_ms_;
    std::uint16_t port_ = 0;
    std::mutex mutex_;
    std::condition_variable end_listed_;
    std::uint64_t token_ = 0;
    std::int64_t deadline_ms_ = 0;
    std::map<std::string, active_run> running_;
    std::map<std::string, std::uint32_t> highest_; ///< Runs that were stopped or have ended.
    std::vector<listed_end> ended_;
    std::uint64_t last_end_ = 0;
};

} // namespace review
