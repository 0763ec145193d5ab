#pragma once

#include "document/fault.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace boragestand::document
{

/// Maximum number of faults reported for one document; a final entry counts the
/// others. It bounds the size of responses, and a document with more faults is
/// unusable as a whole.
constexpr std::size_t max_faults = 100;

/// Collects the faults of one document.
class fault_list
{
public:
    /// Adds a fault, or only counts it if there are max_faults already.
    void add(position where, std::string message);

    /// Whether no fault was added.
    bool empty() const { return faults_.empty(); }

    /// Returns the faults in document order.
    std::vector<fault> sorted() const;

private:
    std::vector<fault> faults_;
    std::size_t omitted_{0};
};

} // namespace boragestand::document
