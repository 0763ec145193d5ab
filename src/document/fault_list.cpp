#include "document/fault_list.hpp"

#include <algorithm>

namespace boragestand::document
{

namespace
{

/// Bounds the size of responses, since a message may quote a long key of the
/// document.
constexpr std::size_t max_message_size = 400;

} // namespace

std::string to_string(const fault& value)
{
    return std::to_string(value.where.line) + ":" +
           std::to_string(value.where.column) + ": " + value.message;
}

void fault_list::add(position where, std::string message)
{
    if (faults_.size() >= max_faults)
    {
        ++omitted_;
        return;
    }
    if (message.size() > max_message_size)
    {
        message.resize(max_message_size);
    }
    faults_.push_back({where, std::move(message)});
}

std::vector<fault> fault_list::sorted() const
{
    std::vector<fault> ordered = faults_;
    std::stable_sort(ordered.begin(), ordered.end(),
                     [](const fault& left, const fault& right)
                     { return left.where < right.where; });
    if (omitted_ > 0)
    {
        ordered.push_back({ordered.back().where,
                           std::to_string(omitted_) + " further faults"});
    }
    return ordered;
}

} // namespace boragestand::document
