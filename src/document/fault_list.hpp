#pragma once

#include "document/fault.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace boragestand::document
{

/// Faults that are kept of one document; a last entry counts the others. A
/// document with more is broken as a whole, and answers stay small.
constexpr std::size_t max_faults = 100;

/// Collects the faults of one document.
class fault_list
{
public:
    /// Adds a fault, or counts it if max_faults are held.
    void add(position where, std::string message);

    /// Whether no fault was added.
    bool empty() const { return faults_.empty(); }

    /// Faults in document order.
    std::vector<fault> sorted() const;

private:
    std::vector<fault> faults_;
    std::size_t omitted_{0};
};

} // namespace boragestand::document
