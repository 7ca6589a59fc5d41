#include "io/http_platform.h"

#include "citronford/result_code.h"
#include "io/url.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace citronford {
namespace {

using nlohmann::json;

absl::Status unavailable() {
    return make_status(result_code::table_unavailable, "the platform did not answer");
}

absl::Status in_doubt() {
    return make_status(result_code::commit_in_doubt, "the reply of the platform was lost");
}

/// The document of a whole reply; a discarded value when it is not JSON.
json document_of(const http_reply& reply) {
    return json::parse(reply.body, nullptr, false);
}

std::string transaction_body(std::span<const table_check> checks,
                             std::span<const table_write> writes) {
    json document = {{"checks", json::array()}, {"writes", json::array()}};
    for (const table_check& check : checks) {
        document["checks"].push_back({{"key", check.key}, {"version", check.version}});
    }
    for (const table_write& write : writes) {
        if (write.value) {
            document["writes"].push_back({{"key", write.key}, {"value", *write.value}});
        } else {
            document["writes"].push_back({{"key", write.key}, {"delete", true}});
        }
    }
    return document.dump();
}

/// A reply other than 200 and 409 is a refusal: the platform wrote nothing.
absl::StatusOr<table_commit> commit_of(const http_result& result) {
    if (std::holds_alternative<http_unreachable>(result)) {
        return unavailable();
    }
    const auto* reply = std::get_if<http_reply>(&result);
    if (reply == nullptr) {
        return in_doubt();
    }
    constexpr int ok = 200;
    constexpr int conflict = 409;
    if (reply->status != ok && reply->status != conflict) {
        return unavailable();
    }
    const json document = document_of(*reply);
    if (!document.is_object()) {
        return in_doubt();
    }
    table_commit commit;
    commit.committed = document.value("committed", false);
    if (commit.committed) {
        commit.version = document.value("version", table_version{0});
    } else {
        commit.conflict_key = document.value("key", "");
        commit.conflict_version = document.value("version", table_version{0});
    }
    return commit;
}

absl::StatusOr<json> successful_document(const http_result& result) {
    const auto* reply = std::get_if<http_reply>(&result);
    constexpr int ok = 200;
    if (reply == nullptr || reply->status != ok) {
        return unavailable();
    }
    json document = document_of(*reply);
    if (!document.is_object()) {
        return unavailable();
    }
    return document;
}

absl::StatusOr<table_scan> scan_of(const http_result& result) {
    const auto document = successful_document(result);
    if (!document.ok()) {
        return document.status();
    }
    table_scan scan;
    scan.version = document->value("version", table_version{0});
    for (const json& item : document->value("rows", json::array())) {
        table_row row;
        row.key = item.value("key", "");
        row.version = item.value("version", table_version{0});
        if (!item.value("deleted", false)) {
            row.value = item.value("value", "");
        }
        scan.rows.push_back(std::move(row));
    }
    return scan;
}

absl::StatusOr<std::vector<vm_listing>> listing_of(const http_result& result) {
    const auto document = successful_document(result);
    if (!document.ok()) {
        return document.status();
    }
    std::vector<vm_listing> vms;
    for (const json& item : document->value("vms", json::array())) {
        vm_listing vm;
        vm.id = vm_id(item.value("id", ""));
        vm.zone = zone_id(item.value("zone", ""));
        vm.rack = rack_id(item.value("rack", ""));
        vm.pool = pool_id(item.value("pool", ""));
        vm.address = {item.value("address", ""), item.value("port", std::uint16_t{0})};
        vm.leaving = item.value("leaving", false);
        vms.push_back(std::move(vm));
    }
    return vms;
}

/// Documents with members of the wrong type throw inside the JSON library; they count as no answer.
template <class Result, class Function>
absl::StatusOr<Result> guarded(Function function, const http_result& result) {
    try {
        return function(result);
    } catch (const json::exception&) {
        return unavailable();
    }
}

} // namespace

http_platform::http_platform(http_client& client, endpoint address, duration timeout)
    : client_(client), address_(std::move(address)), timeout_(timeout) {}

void http_platform::call(std::string_view method, std::string_view path, std::string_view body,
                         http_client::callback done) {
    client_.call(address_, {method, path, {}, body, timeout_}, std::move(done));
}

void http_platform::commit(std::span<const table_check> checks, std::span<const table_write> writes,
                           commit_callback done) {
    call("POST", "/table/txn", transaction_body(checks, writes),
         [done = std::move(done)](const http_result& result) {
             done(guarded<table_commit>(commit_of, result));
         });
}

void http_platform::scan(std::string_view prefix, table_version since, scan_callback done) {
    const std::string path =
        "/table/scan?prefix=" + url_encoded(prefix) + "&since=" + std::to_string(since);
    call("GET", path, {}, [done = std::move(done)](const http_result& result) {
        done(guarded<table_scan>(scan_of, result));
    });
}

void http_platform::put(std::string_view name, std::string_view content, put_callback done) {
    call("PUT", "/objects/" + url_encoded(name), content,
         [done = std::move(done)](const http_result& result) {
             done(successful_document(result).status());
         });
}

void http_platform::get(std::string_view name, get_callback done) {
    call("GET", "/objects/" + url_encoded(name), {},
         [done = std::move(done)](const http_result& result) {
             constexpr int ok = 200;
             constexpr int not_found = 404;
             const auto* reply = std::get_if<http_reply>(&result);
             if (reply != nullptr && reply->status == ok) {
                 done(reply->body);
             } else if (reply != nullptr && reply->status == not_found) {
                 done(make_status(result_code::not_found, "there is no such object"));
             } else {
                 done(unavailable());
             }
         });
}

void http_platform::list(list_callback done) {
    call("GET", "/vms", {}, [done = std::move(done)](const http_result& result) {
        done(guarded<std::vector<vm_listing>>(listing_of, result));
    });
}

} // namespace citronford
