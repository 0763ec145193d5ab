#pragma once

#include "base/base.hpp"

#include <functional>
#include <optional>
#include <queue>
#include <utility>
#include <vector>

namespace boragestand::standins
{

/// Priority queue of keys by the time at which each is due. A key may be added
/// more than once; entries are never cancelled, so the owner ignores those that
/// no longer apply.
template <typename Key>
class timer_queue
{
public:
    /// Adds a key; does nothing if no time is given.
    void add(std::optional<time_point> when, const Key& key)
    {
        if (when)
        {
            waiting_.emplace(*when, key);
        }
    }

    /// Removes and returns the earliest key if it is due.
    std::optional<Key> take_due_key(time_point now)
    {
        if (waiting_.empty() || waiting_.top().first > now)
        {
            return std::nullopt;
        }
        Key key = waiting_.top().second;
        waiting_.pop();
        return key;
    }

private:
    using entry = std::pair<time_point, Key>;
    std::priority_queue<entry, std::vector<entry>, std::greater<>> waiting_;
};

} // namespace boragestand::standins
