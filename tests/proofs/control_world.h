#pragma once

#include "citronford/authorization.h"
#include "citronford/configuration.h"
#include "citronford/escrow.h"
#include "citronford/membership.h"
#include "citronford/overloaded.h"

#include <deque>
#include <functional>
#include <random>
#include <set>

namespace citronford {

/// One node of the model: the real decisions, and what the model knows of the process.
struct modelled_node {
    team_limits limits;
    std::unique_ptr<membership> members;
    std::unique_ptr<escrow> units;
    std::unique_ptr<configuration> fleet;
    zone_id zone;
    std::size_t zone_index = 0;
    bool up = true;    ///< The process runs.
    bool vm_up = true; ///< The VM answers: a process that does not run refuses connections.
    bool paused = false;
    bool reading = false;
    std::vector<std::function<void()>> held_back; ///< Callbacks that wait for the end of a pause.
    std::map<change_id, configuration_change> asked;
};

/// Several nodes, the table and the network in virtual time. Everything follows from the seed.
class control_world {
  public:
    using answer_function = std::function<void(std::size_t node, const answer_change& answer)>;

    struct fault_switches {
        bool table_out = false;
        duration table_delay{};
        double lost_replies = 0;
        double lost_messages = 0;
        double late_messages = 0;
        bool updates_lost = false; ///< No configuration is pushed: nodes learn it by polling.
    };

    control_world(std::uint64_t seed, std::size_t zones, std::size_t node_count,
                  fleet_configuration first);

    /// Runs all events up to `span` from now.
    void run(duration span);
    /// Runs `function` of a node after `delay`; later if the node is paused, never if it ended.
    void at_node(std::size_t index, duration delay, std::function<void()> function);
    void change(std::size_t index, const configuration_change& change);
    void end_process(std::size_t index, bool with_vm);
    void restart(std::size_t index);
    void pause(std::size_t index, bool paused);

    double chance() { return std::uniform_real_distribution<double>(0, 1)(random); }
    std::size_t below(std::size_t bound) { return random() % bound; }

    std::mt19937_64 random;
    instant now{seconds(100000)};
    fault_switches faults;
    std::vector<std::unique_ptr<modelled_node>> nodes;
    std::vector<std::vector<bool>> cut;        ///< From zone to zone; one way.
    std::vector<bool> platform_cut;            ///< By zone.
    std::vector<fleet_configuration> versions; ///< Every version ever committed, in order.
    std::map<team_id, escrow_row> rows;
    answer_function on_answer;
    std::function<void(std::size_t)> on_tick;
    std::uint64_t steps = 0;
    std::uint64_t table_writes = 0;
    std::uint64_t messages = 0;

  private:
    void schedule(duration delay, std::function<void()> function) {
        queue_.emplace(now + delay, std::move(function));
    }
    void start(std::size_t index);
    void tick(std::size_t index);
    void poll(std::size_t index);
    void read(std::size_t index);
    void publish(modelled_node& node);
    void input(std::size_t index, const membership_input& item);
    void input(std::size_t index, const configuration_input& item);
    void input(std::size_t index, const escrow_input& item);
    void receive(std::size_t index, const member_id& from, const peer_message& message);
    void send(std::size_t index, const send_peer& item);
    void push(std::size_t index, const node_id& to);
    /// Runs `effect` at the table; `done` gets true, or false when the reply or request was lost.
    void at_table(std::size_t index, std::function<void()> effect, std::function<void(bool)> done);
    duration latency() { return milliseconds(1 + below(4)); }

    std::vector<std::unique_ptr<modelled_node>> former_; ///< Kept, so that addresses stay distinct.
    std::multimap<instant, std::function<void()>> queue_;
    std::map<node_id, registration_row> registrations_;
    table_version table_version_ = 1;
    table_version version_row_ = 1;
    member_id author_;
    std::uint64_t next_id_ = 1;
    std::vector<std::uint64_t> generation_; ///< Counts the processes of each node.
};

} // namespace citronford
