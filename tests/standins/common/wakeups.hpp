#pragma once

#include "base/base.hpp"

#include <functional>
#include <optional>
#include <queue>
#include <utility>
#include <vector>

namespace boragestand::standins
{

/// Keys with the time at which each wants attention. A key may be added again
/// for another time; its owner ignores times that no longer apply.
template <typename Key>
class wakeups
{
public:
    /// Adds a key; nothing happens without a time.
    void add(std::optional<time_point> when, const Key& key)
    {
        if (when)
        {
            waiting_.emplace(*when, key);
        }
    }

    /// Takes a key whose time has come.
    std::optional<Key> take_due(time_point now)
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
