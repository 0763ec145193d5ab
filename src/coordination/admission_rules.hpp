#pragma once

#include "coordination/traffic_types.hpp"

#include <map>
#include <string>
#include <vector>

namespace boragestand::coordination
{

/// Admission rules of one service, in the order of the configuration.
class admission_rules
{
public:
    /// Replaces the rules. A share rule keeps its number as long as its name
    /// is unchanged, since running flows are counted under that number.
    void apply(std::vector<state::rule> rules);

    /// The rules that match a flow, in order, up to and including the first
    /// that accepts or shares. A refuse rule has no effect without an
    /// agreement, so the rules after it still count.
    std::vector<const state::rule*> matching(const flow_arrival& arrival) const;

    /// Number of the share rule with this name, or 0.
    std::uint16_t share_number(const std::string& name) const;

    /// Share rule with this number, or null.
    const state::rule* share_rule(std::uint16_t number) const;

private:
    std::vector<state::rule> rules_;
    std::map<std::string, std::uint16_t> share_numbers_;
};

} // namespace boragestand::coordination
