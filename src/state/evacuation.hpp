#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace boragestand::state
{

/// An operator's order about the upstreams of one data centre.
struct evacuation_order
{
    std::string data_centre;
    bool active{true}; ///< true: no new flows there; false: as usual again

    auto operator<=>(const evacuation_order&) const = default;
};

/// State of a data centre after the newest order that changed it.
struct evacuation
{
    bool active{false};
    std::uint64_t index{0}; ///< log index of that order

    auto operator<=>(const evacuation&) const = default;
};

/// The replicated register of evacuations. Ended ones stay in it, so that an
/// instance that missed the end learns of it; data centres bound its size.
class evacuation_register
{
public:
    using entries_map = std::map<std::string, evacuation>;

    evacuation_register() = default;
    explicit evacuation_register(entries_map entries)
        : entries_(std::move(entries))
    {
    }

    /// Applies an order from the log. Returns whether it changed anything:
    /// orders are resent after lost answers.
    bool apply(const evacuation_order& order, std::uint64_t index);

    /// Evacuated data centres and those whose evacuation has ended.
    const entries_map& entries() const { return entries_; }

    /// Log index of the newest change, 0 if there was none.
    std::uint64_t newest_index() const;

    auto operator<=>(const evacuation_register&) const = default;

private:
    entries_map entries_;
};

} // namespace boragestand::state
