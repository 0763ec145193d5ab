#pragma once

#include "document/document.hpp"
#include "state/configuration.hpp"
#include "state/release_note.hpp"

#include <cstddef>
#include <string_view>

namespace boragestand::state
{

/// Largest configuration that notes can build.
constexpr std::size_t max_services = 20000;
constexpr std::size_t max_rules = 50000;
constexpr std::size_t max_overrides = 100000;

/// A note that fits the configuration it was checked against.
struct checked_note
{
    release_note note;
    configuration next; ///< after the note, with the next revision
};

/// The configuration after a note, with the next revision, or all faults.
/// Withdrawing a service also withdraws its rules, overrides and agreements.
document::checked<configuration> apply(const release_note& note,
                                       const configuration& current);

/// Reads a note and applies it; reports faults of both steps at once. Never
/// throws.
document::checked<checked_note>
check_release_note(std::string_view text, const configuration& current);

} // namespace boragestand::state
