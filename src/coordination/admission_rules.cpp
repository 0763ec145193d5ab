#include "coordination/admission_rules.hpp"

#include <algorithm>

namespace boragestand::coordination
{

namespace
{

bool source_matches(const state::rule& rule, std::uint32_t caller)
{
    if (rule.source_prefix_length == 0)
    {
        return true;
    }
    const unsigned shift =
        32u - std::min<unsigned>(rule.source_prefix_length, 32u);
    return (rule.source_address >> shift) == (caller >> shift);
}

bool matches(const state::rule& rule, const flow_arrival& arrival)
{
    const bool work_matches =
        rule.work == protocol::request_class::unspecified ||
        rule.work == arrival.work;
    return work_matches && source_matches(rule, arrival.caller_address);
}

} // namespace

void admission_rules::apply(std::vector<state::rule> rules)
{
    rules_ = std::move(rules);
    for (const state::rule& rule : rules_)
    {
        if (rule.action == state::rule_action::share)
        {
            const auto next =
                static_cast<std::uint16_t>(share_numbers_.size() + 1);
            share_numbers_.emplace(rule.name, next);
        }
    }
}

std::vector<const state::rule*>
admission_rules::matching(const flow_arrival& arrival) const
{
    std::vector<const state::rule*> found;
    for (const state::rule& rule : rules_)
    {
        if (!matches(rule, arrival))
        {
            continue;
        }
        found.push_back(&rule);
        if (rule.action != state::rule_action::refuse)
        {
            break;
        }
    }
    return found;
}

std::uint16_t admission_rules::share_number(const std::string& name) const
{
    const auto found = share_numbers_.find(name);
    return found == share_numbers_.end() ? 0 : found->second;
}

const state::rule* admission_rules::share_rule(std::uint16_t number) const
{
    const auto found =
        std::find_if(rules_.begin(), rules_.end(),
                     [this, number](const state::rule& rule)
                     {
                         return rule.action == state::rule_action::share &&
                                share_number(rule.name) == number;
                     });
    return found == rules_.end() ? nullptr : &*found;
}

} // namespace boragestand::coordination
