#include "scenario_run.hpp"

#include <stdexcept>

namespace boragestand::testing
{

namespace
{

// Long enough for several elections.
constexpr duration wait_limit = std::chrono::seconds(10);

const std::string unknown_step = "unknown step";

duration span_of(const std::string& word)
{
    const auto number = std::stoll(word);
    return word.ends_with("ms") ? duration(std::chrono::milliseconds(number))
                                : duration(std::chrono::seconds(number));
}

std::string problem_unless(bool holds, const std::string& problem)
{
    return holds ? std::string() : problem;
}

std::vector<std::set<std::uint32_t>>
sides_of(const std::vector<std::string>& words)
{
    std::vector<std::set<std::uint32_t>> sides(1);
    for (std::size_t at = 1; at < words.size(); ++at)
    {
        if (words[at] == "|")
        {
            sides.emplace_back();
            continue;
        }
        sides.back().insert(static_cast<std::uint32_t>(std::stoul(words[at])));
    }
    return sides;
}

} // namespace

scenario_run::scenario_run(std::uint64_t seed,
                           const agreement::agreement_faults& faults)
    : seed_(seed)
{
    settings_.faults = faults;
    settings_.snapshot_interval = 100000;
}

simulated_group& scenario_run::group()
{
    if (!group_)
    {
        group_ = std::make_unique<simulated_group>(seed_, settings_);
        group_->set_conditions(conditions_);
    }
    return *group_;
}

std::uint32_t scenario_run::instance(const std::string& word)
{
    if (word != "leader")
    {
        return static_cast<std::uint32_t>(std::stoul(word));
    }
    group().run(wait_limit, [this] { return group().leader() != nullptr; });
    const auto* leader = group().leader();
    if (leader == nullptr)
    {
        throw std::runtime_error("there is no leader");
    }
    return leader->instance();
}

simulated_replica& scenario_run::replica(const std::string& word)
{
    return group().at(instance(word));
}

std::string scenario_run::execute(const std::vector<std::string>& words)
{
    const auto problem = dispatch(words);
    if (group_ != nullptr)
    {
        group_->check_log_matching();
        if (!group_->violation().empty())
        {
            return group_->violation();
        }
    }
    return problem;
}

std::string scenario_run::dispatch(const word_list& words)
{
    for (const auto part : {&scenario_run::control, &scenario_run::submit,
                            &scenario_run::inject_fault})
    {
        const auto problem = (this->*part)(words);
        if (problem != unknown_step)
        {
            return problem;
        }
    }
    return unknown_step + " " + words.front();
}

std::string scenario_run::control(const word_list& words)
{
    const auto& name = words.front();
    if (name == "start")
    {
        std::vector<std::uint32_t> founders;
        for (std::size_t at = 1; at < words.size(); ++at)
        {
            founders.push_back(instance(words[at]));
        }
        group().found(founders);
        return {};
    }
    if (name == "set")
    {
        return set(words);
    }
    if (name == "run")
    {
        group().run(span_of(words.at(1)));
        return {};
    }
    if (name == "elect" || name == "try-elect")
    {
        return elect(words.at(1), name == "elect");
    }
    if (name == "until")
    {
        return wait_until(words);
    }
    if (name == "expect")
    {
        return expect(words);
    }
    if (name == "mark-term")
    {
        marked_term_ = replica("leader").node()->term();
        return {};
    }
    return unknown_step;
}

std::string scenario_run::set(const word_list& words)
{
    const auto& name = words.at(1);
    const auto& value = words.at(2);
    if (name == "batch")
    {
        settings_.max_append_entries = std::stoul(value);
    }
    else if (name == "snapshots")
    {
        settings_.snapshot_interval = std::stoul(value);
    }
    else if (name == "chunk")
    {
        settings_.chunk_size = std::stoul(value);
    }
    else if (name == "loss")
    {
        conditions_.loss = std::stod(value);
    }
    else if (name == "duplication")
    {
        conditions_.duplication = std::stod(value);
    }
    else if (name == "delay")
    {
        conditions_.least_delay = span_of(value);
        conditions_.most_delay = span_of(words.at(3));
    }
    else
    {
        return "unknown setting " + name;
    }
    if (group_ != nullptr)
    {
        group_->set_conditions(conditions_);
    }
    return {};
}

std::string scenario_run::elect(const std::string& word, bool required)
{
    const bool elected = group().elect(instance(word), wait_limit / 4);
    return problem_unless(elected || !required,
                          "instance " + word + " does not lead");
}

void scenario_run::store_token(const std::string& name, std::uint64_t token)
{
    tokens_[name] = token;
}

std::string scenario_run::submit(const word_list& words)
{
    const auto& name = words.front();
    if (name == "propose")
    {
        const auto target = instance(words.at(1));
        store_token(words.at(2), group().propose(target, words.at(2)));
        return {};
    }
    if (name == "propose-many")
    {
        const auto target = instance(words.at(1));
        for (int number = 1; number <= std::stoi(words.at(2)); ++number)
        {
            const auto command = words.at(3) + std::to_string(number);
            store_token(command, group().propose(target, command));
            group().run(std::chrono::milliseconds(1));
        }
        return {};
    }
    if (name == "read")
    {
        store_token(words.at(2), group().read(instance(words.at(1))));
        return {};
    }
    if (name == "admit" || name == "add")
    {
        const auto& joining = replica(words.at(1));
        const agreement::add_replica change{
            joining.identity(), joining.address(),
            name == "admit" ? joining.previous_identity() : replica_id{}};
        store_token(name + words.at(1),
                    group().change(instance("leader"), change));
        return {};
    }
    if (name == "remove")
    {
        const auto id = replica(words.at(1)).identity();
        store_token(
            name + words.at(1),
            group().change(instance("leader"), agreement::remove_replica{id}));
        return {};
    }
    return unknown_step;
}

std::string scenario_run::inject_fault(const word_list& words)
{
    const auto& name = words.front();
    if (name == "cut")
    {
        group().cut(sides_of(words));
        return {};
    }
    if (name == "heal")
    {
        group().heal();
        return {};
    }
    if (name == "drop-in-flight")
    {
        group().drop_in_flight();
        return {};
    }
    const std::map<std::string, std::function<void(std::uint32_t)>> actions{
        {"spawn",
         [this](auto target)
         {
             group().spawn(target);
         }},
        {"kill",
         [this](auto target)
         {
             group().at(target).kill();
         }},
        {"restart",
         [this](auto target)
         {
             group().restart(target);
         }},
        {"freeze",
         [this](auto target)
         {
             group().freeze(target);
         }},
        {"thaw",
         [this](auto target)
         {
             group().thaw(target);
         }},
        {"hand-over",
         [this](auto target)
         {
             group().hand_over(target);
         }},
        {"lose-disk",
         [this](auto target)
         {
             group().at(target).lose_disk();
         }},
        {"kill-at",
         [&](auto target)
         {
             group().at(target).disk().crash_at(std::stoul(words.at(2)) - 1);
         }},
    };
    const auto action = actions.find(name);
    if (action == actions.end())
    {
        return unknown_step;
    }
    action->second(instance(words.at(1)));
    return {};
}

bool scenario_run::all_hold(const word_list& words, std::size_t first_instance,
                            const std::string& command)
{
    for (auto at = first_instance; at < words.size(); ++at)
    {
        if (!replica(words[at]).holds(command))
        {
            return false;
        }
    }
    return true;
}

std::string scenario_run::wait_until(const word_list& words)
{
    if (words.at(1) != "committed" || words.at(3) != "on")
    {
        return "until committed COMMAND on INSTANCES expected";
    }
    const bool reached = group().run(
        wait_limit, [&] { return all_hold(words, 4, words.at(2)); });
    return problem_unless(reached,
                          words.at(2) + " is not committed everywhere");
}

std::string scenario_run::expect(const word_list& words)
{
    const auto& what = words.at(1);
    if (what == "committed")
    {
        return problem_unless(all_hold(words, 4, words.at(2)),
                              words.at(2) + " is not committed everywhere");
    }
    if (what == "missing")
    {
        for (std::size_t at = 4; at < words.size(); ++at)
        {
            if (replica(words[at]).holds(words.at(2)))
            {
                return words.at(2) + " is committed on " + words[at];
            }
        }
        return {};
    }
    if (what == "same-term")
    {
        const auto term = replica("leader").node()->term();
        return problem_unless(term == marked_term_,
                              "term went from " + std::to_string(marked_term_) +
                                  " to " + std::to_string(term));
    }
    if (what == "same-state")
    {
        const auto& first = replica(words.at(3)).commands();
        for (std::size_t at = 4; at < words.size(); ++at)
        {
            if (replica(words[at]).commands() != first)
            {
                return "the states of " + words[3] + " and " + words[at] +
                       " differ";
            }
        }
        return {};
    }
    const auto problem = expect_answer(words);
    return problem == unknown_step ? expect_replica(words) : problem;
}

std::string scenario_run::expect_answer(const word_list& words)
{
    const auto& what = words.at(1);
    if (what != "answered" && what != "open" && what != "unknown" &&
        what != "refused")
    {
        return unknown_step;
    }
    const auto answer = group().answer(tokens_.at(words.at(2)));
    if (what == "open" || !answer)
    {
        return problem_unless((what == "open") == !answer,
                              words.at(2) +
                                  (answer ? " was answered" : " is open"));
    }
    if (*answer)
    {
        return problem_unless(what == "answered", words.at(2) + " took effect");
    }
    const auto kind = std::string(error_info_for(answer->error().kind).name);
    const std::string expected = what == "unknown"   ? "timeout"
                                 : what == "refused" ? words.at(3)
                                                     : "success";
    return problem_unless(kind == expected,
                          words.at(2) + " was answered with " + kind);
}

std::string scenario_run::expect_replica(const word_list& words)
{
    const auto& what = words.at(1);
    if (what == "leader" || what == "no-leader")
    {
        return problem_unless(
            replica(words.at(2)).leads() == (what == "leader"),
            "instance " + words.at(2) + " is not as expected");
    }
    if (what == "snapshot")
    {
        return problem_unless(replica(words.at(3)).node()->snapshot_index() > 0,
                              "instance " + words.at(3) + " has no snapshot");
    }
    const auto& subject = replica(words.at(2));
    const auto& members = replica("leader").node()->group();
    const auto* member = members.find(subject.identity());
    const std::string found = member == nullptr ? "no-member"
                              : member->voter   ? "voter"
                                                : "learner";
    return problem_unless(found == what,
                          "instance " + words.at(2) + " is " + found);
}

} // namespace boragestand::testing
