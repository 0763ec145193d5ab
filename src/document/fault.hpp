#pragma once

#include <tl/expected.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace boragestand::document
{

/// A position in a document; lines and columns start at 1, 0 means unknown.
struct position
{
    std::uint32_t line{0};
    std::uint32_t column{0};

    auto operator<=>(const position&) const = default;
};

/// An error in a document; the message says what was expected.
struct fault
{
    position where;
    std::string message;

    auto operator<=>(const fault&) const = default;
};

/// A valid value, or all faults of its document.
template <typename Value>
using checked = tl::expected<Value, std::vector<fault>>;

/// Formats a fault as "LINE:COLUMN: MESSAGE".
std::string to_string(const fault& value);

/// A value and its position. Compares by value only, so that documents that
/// differ only in layout are equal.
template <typename Value>
struct located
{
    Value value{};
    position where;

    bool operator==(const located& other) const { return value == other.value; }
};

} // namespace boragestand::document
