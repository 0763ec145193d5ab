#pragma once

#include <tl/expected.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace boragestand::document
{

/// A place in a document; lines and columns start at 1, 0 means unknown.
struct position
{
    std::uint32_t line{0};
    std::uint32_t column{0};

    auto operator<=>(const position&) const = default;
};

/// Something wrong in a document, with what was expected.
struct fault
{
    position where;
    std::string message;

    auto operator<=>(const fault&) const = default;
};

/// A value, or all faults that prevented it.
template <typename Value>
using checked = tl::expected<Value, std::vector<fault>>;

/// "LINE:COLUMN: MESSAGE".
std::string to_string(const fault& value);

/// A value and where it was read. Compares by value only, so that documents
/// that differ in layout are equal.
template <typename Value>
struct located
{
    Value value{};
    position where;

    bool operator==(const located& other) const { return value == other.value; }
};

} // namespace boragestand::document
