#include "simulated_group.hpp"

#include <stdexcept>

namespace boragestand::testing
{

namespace
{

// Short enough for the default heartbeat interval of 100 ms.
constexpr duration tick_interval = std::chrono::milliseconds(25);

std::string text(std::uint64_t number)
{
    return std::to_string(number);
}

} // namespace

simulated_group::simulated_group(std::uint64_t seed,
                                 agreement::agreement_settings settings)
    : random_(seed), settings_(settings)
{
}

simulated_group::~simulated_group() = default;

std::unique_ptr<simulated_replica>
simulated_group::make_replica(std::uint32_t instance)
{
    replica_observer& observer = *this;
    return std::make_unique<simulated_replica>(instance, random_.next(),
                                               settings_, observer);
}

void simulated_group::found(const std::vector<std::uint32_t>& instances,
                            const std::set<std::uint32_t>& informed)
{
    protocol::replica_group group;
    for (const auto instance : instances)
    {
        const replica_id id{std::uint64_t{instance} << 32};
        group.members.push_back({id, {instance, 1}, true, 0});
        replicas_.emplace(instance, make_replica(instance));
    }
    group_ = group;
    for (const auto instance : instances)
    {
        at(instance).create(informed.contains(instance) ? std::optional(group)
                                                        : std::nullopt);
        at(instance).start();
    }
}

void simulated_group::spawn(std::uint32_t instance)
{
    replicas_.emplace(instance, make_replica(instance));
    at(instance).create(std::nullopt);
    at(instance).start();
}

simulated_replica& simulated_group::at(std::uint32_t instance)
{
    const auto found = replicas_.find(instance);
    if (found == replicas_.end())
    {
        throw std::runtime_error("no instance " + text(instance));
    }
    return *found->second;
}

void simulated_group::restart(std::uint32_t instance)
{
    if (!at(instance).running())
    {
        at(instance).start();
    }
}

bool simulated_group::run(duration span, const std::function<bool()>& condition)
{
    const auto end = now_ + span;
    while (violation_.empty())
    {
        if (condition && condition())
        {
            return true;
        }
        const bool tick_first =
            in_flight_.empty() || next_tick_ <= in_flight_.begin()->first;
        const auto next = tick_first ? next_tick_ : in_flight_.begin()->first;
        if (next > end)
        {
            now_ = end;
            return !condition;
        }
        now_ = next;
        if (tick_first)
        {
            tick_all();
            continue;
        }
        const auto first = in_flight_.begin();
        const packet arrived = std::move(first->second);
        in_flight_.erase(first);
        if (connected(arrived.from, arrived.message.address.address))
        {
            deliver(arrived.message);
        }
    }
    return false;
}

void simulated_group::tick_all()
{
    next_tick_ = now_ + tick_interval;
    for (const auto& [instance, replica] : replicas_)
    {
        if (!replica->frozen())
        {
            replica->step({now_, agreement::clock_tick{}});
        }
    }
}

// Passes through the codec, as between processes.
void simulated_group::deliver(const agreement::send_message& message)
{
    const auto receiver = replicas_.find(message.address.address);
    const auto decoded = protocol::decode_agreement_message(
        protocol::encode_agreement_message(message.envelope));
    if (!decoded)
    {
        report_violation("message does not decode: " + decoded.error().message);
        return;
    }
    if (receiver != replicas_.end())
    {
        receiver->second->step({now_, agreement::message_received{*decoded}});
    }
}

bool simulated_group::connected(std::uint32_t from, std::uint32_t to) const
{
    for (const auto& side : sides_)
    {
        if (side.contains(from))
        {
            return side.contains(to);
        }
    }
    return true;
}

std::uint64_t simulated_group::propose(std::uint32_t instance,
                                       const std::string& command)
{
    const auto token = next_token_++;
    proposed_[token] = command;
    at(instance).step({now_, agreement::proposal{token, command}});
    return token;
}

std::uint64_t simulated_group::change(std::uint32_t instance,
                                      agreement::membership_change change)
{
    const auto token = next_token_++;
    at(instance).step({now_, agreement::membership_proposal{token, change}});
    return token;
}

std::uint64_t simulated_group::read(std::uint32_t instance)
{
    const auto token = next_token_++;
    at(instance).step({now_, agreement::read_request{token}});
    return token;
}

void simulated_group::hand_over(std::uint32_t instance)
{
    at(instance).step({now_, agreement::leadership_transfer_requested{}});
}

bool simulated_group::elect(std::uint32_t instance, duration limit)
{
    constexpr duration pause = std::chrono::milliseconds(60);
    auto& replica = at(instance);
    for (duration spent{0}; spent < limit; spent += pause)
    {
        if (replica.running() && !replica.leads())
        {
            const auto* node = replica.node();
            const protocol::agreement_envelope envelope{
                {},
                node->self(),
                {},
                node->term(),
                protocol::leadership_transfer{}};
            replica.step({now_, agreement::message_received{envelope}});
        }
        if (run(pause, [&replica] { return replica.leads(); }))
        {
            return true;
        }
    }
    return false;
}

simulated_replica* simulated_group::leader() const
{
    simulated_replica* best = nullptr;
    for (const auto& [instance, replica] : replicas_)
    {
        if (replica->leads() &&
            (best == nullptr || replica->node()->term() > best->node()->term()))
        {
            best = replica.get();
        }
    }
    return best;
}

std::optional<result<std::uint64_t>>
simulated_group::answer(std::uint64_t token) const
{
    const auto found = answers_.find(token);
    return found == answers_.end() ? std::nullopt
                                   : std::optional(found->second);
}

std::uint64_t simulated_group::last_committed() const
{
    return committed_.empty() ? 0 : committed_.rbegin()->first;
}

void simulated_group::sent(std::uint32_t from,
                           const agreement::send_message& message)
{
    const auto copies = random_.fraction() < conditions_.duplication ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy)
    {
        if (random_.fraction() < conditions_.loss)
        {
            continue;
        }
        const auto spread = static_cast<std::uint64_t>(
            (conditions_.most_delay - conditions_.least_delay).count());
        const duration delay =
            conditions_.least_delay +
            duration(static_cast<duration::rep>(random_.below(spread + 1)));
        in_flight_.emplace(now_ + delay, packet{from, message});
    }
}

void simulated_group::applied(std::uint32_t instance,
                              const protocol::log_entry& entry,
                              const std::string& state)
{
    const auto [known, added] = committed_.emplace(entry.index, entry);
    if (!added && known->second != entry)
    {
        report_violation("instance " + text(instance) +
                         " applied another entry " + text(entry.index));
    }
    if (added)
    {
        commit_terms_[entry.index] = at(instance).node()->term();
    }
    const auto [expected, first] = states_.emplace(entry.index, state);
    if (!first && expected->second != state)
    {
        report_violation("instance " + text(instance) +
                         " reached another state at index " +
                         text(entry.index));
    }
    if (added && entry.kind == protocol::entry_kind::membership)
    {
        check_promotion(entry);
    }
}

// Before any replica counts the vote of a member, that member must hold
// everything that was committed when it was admitted.
void simulated_group::check_promotion(const protocol::log_entry& entry)
{
    group_ = protocol::decode_replica_group(entry.data).value();
    for (const auto& member : group_.members)
    {
        const auto& replica = at(member.address.address);
        if (!member.voter || !replica.running() ||
            replica.identity() != member.id)
        {
            continue;
        }
        if (replica.node()->last().index < member.admission_index)
        {
            report_violation(
                "instance " + text(replica.instance()) +
                " votes without what was committed at its admission");
        }
    }
}

void simulated_group::restored(std::uint32_t instance,
                               const protocol::agreement_snapshot& snapshot)
{
    const auto expected = states_.find(snapshot.last.index);
    if (expected == states_.end() || expected->second != snapshot.data)
    {
        report_violation("instance " + text(instance) +
                         " took a snapshot of another state at index " +
                         text(snapshot.last.index));
    }
}

void simulated_group::became_leader(std::uint32_t instance, std::uint64_t term)
{
    const auto [known, added] = leaders_.emplace(term, instance);
    if (!added && known->second != instance)
    {
        report_violation("instances " + text(known->second) + " and " +
                         text(instance) + " lead term " + text(term));
    }
    const auto& replica = at(instance);
    const auto covered = replica.node()->snapshot_index();
    for (auto entry = committed_.upper_bound(covered);
         entry != committed_.end(); ++entry)
    {
        // A replica that resumes may win an election of a term that the others
        // have left; it cannot commit anything.
        if (commit_terms_[entry->first] >= term)
        {
            continue;
        }
        const auto held = replica.entries().find(entry->first);
        if (held == replica.entries().end() || held->second != entry->second)
        {
            report_violation("instance " + text(instance) + " leads term " +
                             text(term) + " without committed entry " +
                             text(entry->first));
            return;
        }
    }
}

void simulated_group::answered(std::uint64_t token,
                               const result<std::uint64_t>& outcome)
{
    if (!answers_.emplace(token, outcome).second)
    {
        report_violation("token " + text(token) + " was answered twice");
    }
    const auto command = proposed_.find(token);
    if (outcome && command != proposed_.end())
    {
        acknowledged_.insert(command->second);
    }
}

void simulated_group::invariant_broken(std::uint32_t instance,
                                       const std::string& what)
{
    report_violation("instance " + text(instance) + ": " + what);
}

void simulated_group::report_violation(const std::string& what)
{
    if (violation_.empty())
    {
        violation_ = what;
    }
}

void simulated_group::check_log_matching()
{
    for (const auto& [left_instance, left] : replicas_)
    {
        for (const auto& [right_instance, right] : replicas_)
        {
            bool same_from_here = false;
            const auto& entries = left->entries();
            for (auto at = entries.rbegin(); at != entries.rend(); ++at)
            {
                const auto other = right->entries().find(at->first);
                if (other == right->entries().end())
                {
                    continue;
                }
                same_from_here =
                    same_from_here || other->second.term == at->second.term;
                if (same_from_here && other->second != at->second)
                {
                    report_violation("logs of " + text(left_instance) +
                                     " and " + text(right_instance) +
                                     " differ at index " + text(at->first));
                }
            }
        }
    }
}

std::string simulated_group::settle()
{
    conditions_ = {};
    heal();
    for (const auto& [instance, replica] : replicas_)
    {
        replica->disk().cancel_crash();
        if (replica->frozen())
        {
            thaw(instance);
        }
        restart(instance);
    }
    constexpr int rounds = 30;
    for (int round = 0; round < rounds && violation_.empty(); ++round)
    {
        const auto marker = "settled" + text(next_token_);
        if (const auto* chosen = leader())
        {
            propose(chosen->instance(), marker);
        }
        if (run(std::chrono::seconds(1), [&] { return is_settled(marker); }))
        {
            break;
        }
        if (round == rounds - 1)
        {
            report_violation("the group does not settle");
        }
    }
    check_log_matching();
    return violation_;
}

bool simulated_group::is_settled(const std::string& marker)
{
    const simulated_replica* first = nullptr;
    for (const auto& member : group_.members)
    {
        const auto& replica = at(member.address.address);
        if (replica.identity() != member.id)
        {
            continue; // a lost disk that is not replaced yet
        }
        if (!replica.holds(marker) ||
            (first != nullptr && replica.commands() != first->commands()))
        {
            return false;
        }
        first = &replica;
    }
    for (const auto& command : acknowledged_)
    {
        if (first == nullptr || !first->holds(command))
        {
            return false;
        }
    }
    return true;
}

} // namespace boragestand::testing
