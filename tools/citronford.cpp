// The operators' command line: one request to an entry VM per run.
#include "citronford/result_code.h"
#include "cli/command.h"
#include "cli/table.h"
#include "endpoint_text.h"
#include "io/event_loop.h"
#include "io/http_client.h"

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <optional>

namespace {

namespace po = boost::program_options;
using namespace citronford;

/// Exit codes besides those of result codes (docs/errors.md).
constexpr int exit_usage = 2;
constexpr int exit_no_answer = 3;

struct invocation {
    endpoint entry;
    duration timeout{};
    bool as_json = false;
    command_request request;
};

std::string usage_of(const command& item) {
    std::string usage(item.group);
    for (const std::string_view part : {item.verb, item.argument}) {
        usage += part.empty() ? "" : " " + std::string(part);
    }
    return usage;
}

/// Lists the commands of a group; of all groups when it is empty.
void show_commands(std::string_view group) {
    std::cout << "citronford COMMAND [OPTION...]; each command has --help\n\n";
    for (const command& item : commands()) {
        if (group.empty() || item.group == group) {
            std::string usage = usage_of(item);
            constexpr std::size_t column = 24;
            usage.resize(std::max(usage.size() + 1, column), ' ');
            std::cout << "  " << usage << item.summary << '\n';
        }
    }
}

int fail_usage(std::string_view message) {
    std::cerr << "citronford: " << message << "; see citronford --help\n";
    return exit_usage;
}

po::options_description options_of(const command& item) {
    const char* environment = std::getenv("CITRONFORD_ENTRY"); // NOLINT(concurrency-mt-unsafe)
    po::options_description description("citronford " + usage_of(item) + "\n" +
                                        std::string(item.summary) + "\n\nOptions");
    auto add = description.add_options();
    add("help", "show this text");
    add("entry",
        po::value<std::string>()->default_value(environment == nullptr ? "127.0.0.1:8081"
                                                                       : environment),
        "ADDRESS:PORT of an entry VM; the environment variable CITRONFORD_ENTRY by default");
    add("timeout-ms", po::value<std::int64_t>()->default_value(5000),
        "how long to wait for the answer, 1 to 60000");
    add("json", "print the JSON document of the answer");
    if (item.changes) {
        add("dry-run", "check the change and show its effect without making it");
    }
    for (const command_option& option : item.options) {
        add(std::string(option.name).c_str(), po::value<std::string>(),
            (std::string(option.meaning) + (option.required ? " (required)" : "")).c_str());
    }
    return description;
}

/// The words after the command as values by name. Throws `po::error` on a wrong option.
po::variables_map parsed_words(const command& item, const po::options_description& visible,
                               const std::vector<std::string>& words) {
    po::options_description all;
    all.add(visible);
    po::positional_options_description positions;
    if (!item.argument.empty()) {
        all.add_options()("argument", po::value<std::string>());
        positions.add("argument", 1);
    }
    po::variables_map values;
    po::store(
        po::command_line_parser(words)
            .options(all)
            .positional(positions)
            .style(po::command_line_style::unix_style & ~po::command_line_style::allow_guessing)
            .run(),
        values);
    po::notify(values);
    return values;
}

/// Sends the request and waits for the answer on a loop of its own.
http_result answer_to(const invocation& call) {
    auto loop = event_loop::create();
    if (!loop.ok()) {
        return http_unreachable{};
    }
    http_client client((*loop)->handle(), **loop);
    const std::string authorization = "Bearer " + call.request.key;
    std::vector<std::pair<std::string_view, std::string_view>> headers;
    if (!call.request.key.empty()) {
        headers.emplace_back("authorization", authorization);
    }
    http_result answer = http_unreachable{};
    client.call(call.entry,
                {call.request.method, call.request.path, headers, call.request.body, call.timeout},
                [&](http_result result) {
                    answer = std::move(result);
                    (*loop)->stop();
                });
    (*loop)->run();
    // h2o keeps handles of the closed connection in the loop, which a process that ends does not
    // need to unwind.
    loop->release(); // NOLINT(bugprone-unused-return-value)
    return answer;
}

int report_error(const invocation& call, const http_reply& reply) {
    const auto document = nlohmann::json::parse(reply.body, nullptr, false);
    if (!document.is_object() || !document.contains("code") ||
        !document["code"].is_number_integer()) {
        std::cerr << "citronford: the answer has status " << reply.status << " and no code\n";
        return exit_code_of(result_code::internal_error);
    }
    const auto code = static_cast<result_code>(document["code"].get<int>());
    if (call.as_json) {
        std::cout << reply.body << '\n';
    }
    std::cerr << "citronford: code=" << static_cast<int>(code)
              << " name=" << document.value("name", "") << ": " << document.value("message", "")
              << '\n';
    return exit_code_of(code);
}

int perform(const invocation& call) {
    const http_result answer = answer_to(call);
    const auto* reply = std::get_if<http_reply>(&answer);
    if (reply == nullptr) {
        const bool sent = std::holds_alternative<http_lost>(answer);
        std::cerr << "citronford: no answer from " << call.entry.address << ':' << call.entry.port
                  << (sent ? "; the request may have been received\n"
                           : "; the request was not sent\n");
        return exit_no_answer;
    }
    constexpr int first_error = 300;
    if (reply->status >= first_error) {
        return report_error(call, *reply);
    }
    if (call.as_json) {
        std::cout << reply->body << '\n';
    } else {
        std::cout << readable(reply->body);
    }
    return EXIT_SUCCESS;
}

command_values values_of(const command& item, const po::variables_map& words) {
    command_values values;
    if (words.count("argument") != 0) {
        values.set("argument", words["argument"].as<std::string>());
    }
    for (const command_option& option : item.options) {
        const std::string name(option.name);
        if (words.count(name) != 0) {
            values.set(name, words[name].as<std::string>());
        }
    }
    return values;
}

int run(const command& item, const std::vector<std::string>& words) {
    const po::options_description visible = options_of(item);
    po::variables_map parsed;
    try {
        parsed = parsed_words(item, visible, words);
    } catch (const po::error& error) {
        return fail_usage(error.what());
    }
    if (parsed.count("help") != 0) {
        std::cout << visible;
        return EXIT_SUCCESS;
    }
    const command_values values = values_of(item, parsed);
    if (!item.argument.empty() && !values.has("argument")) {
        return fail_usage(std::string(item.argument) + " is missing");
    }
    for (const command_option& option : item.options) {
        if (option.required && !values.has(option.name)) {
            return fail_usage("--" + std::string(option.name) + " is missing");
        }
    }
    invocation call;
    call.entry = parse_endpoint(parsed["entry"].as<std::string>());
    if (call.entry.port == 0) {
        return fail_usage("--entry " + parsed["entry"].as<std::string>() + ": not ADDRESS:PORT");
    }
    constexpr std::int64_t longest_ms = 60000;
    const auto timeout_ms = parsed["timeout-ms"].as<std::int64_t>();
    if (timeout_ms < 1 || timeout_ms > longest_ms) {
        return fail_usage("--timeout-ms must lie from 1 to 60000");
    }
    call.timeout = milliseconds(timeout_ms);
    call.as_json = parsed.count("json") != 0;
    auto request = item.compose(values);
    if (!request.ok()) {
        return fail_usage(message_of(request.status()));
    }
    call.request = *std::move(request);
    if (parsed.count("dry-run") != 0) {
        call.request.path += "?dry_run=1";
    }
    return perform(call);
}

} // namespace

int main(int argc, char** argv) {
    std::vector<std::string> words(argv + 1, argv + argc);
    if (words.empty() || words[0] == "--help") {
        show_commands({});
        return words.empty() ? exit_usage : EXIT_SUCCESS;
    }
    const std::string group = words[0];
    const auto all = commands();
    if (std::ranges::find(all, group, &command::group) == all.end()) {
        return fail_usage("there is no command " + group);
    }
    const auto found = std::ranges::find_if(all, [&](const command& item) {
        return item.group == group &&
               (item.verb.empty() || (words.size() > 1 && words[1] == item.verb));
    });
    if (found == all.end()) {
        if (words.size() > 1 && words[1] == "--help") {
            show_commands(group);
            return EXIT_SUCCESS;
        }
        return fail_usage(group + " needs one of its verbs");
    }
    words.erase(words.begin(), words.begin() + (found->verb.empty() ? 1 : 2));
    return run(*found, words);
}
