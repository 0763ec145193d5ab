#pragma once

#include "state/configuration_update.hpp"
#include "state/control_command.hpp"
#include "state/request_table.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace boragestand::state
{

/// An accepted release note.
struct accepted_note
{
    std::uint64_t number{0};
    std::string digest;
    std::uint64_t revision{0}; ///< at which it took effect
    std::string text;          ///< as submitted; empty once it was dropped

    auto operator<=>(const accepted_note&) const = default;
};

/// Limits on the history that control_state retains. All replicas use the same.
struct control_limits
{
    std::size_t clients{1024};  ///< clients whose last outcome is kept
    std::size_t notes{50000};   ///< notes kept with number and digest
    std::size_t note_texts{64}; ///< newest notes kept with their text
    std::size_t note_text_bytes{1 << 21}; ///< all texts together
    std::size_t deltas{256}; ///< newest changes of the configuration

    auto operator<=>(const control_limits&) const = default;
};

/// The state machine that the replicated log drives. Replicas that apply the
/// same commands in the same order hold the same state: there is no clock, no
/// random source and no order of memory addresses in it.
class control_state
{
public:
    explicit control_state(const control_limits& limits = {});

    /// Executes a command, or returns the outcome of its first execution. A
    /// command that may have been executed, but whose record was dropped, is
    /// not executed and fails with error_kind::timeout.
    command_outcome apply(const command& value);

    /// The outcome of a command that has run, if it is still retained.
    std::optional<command_outcome>
    find_outcome(const request_identity& request) const;

    /// The configuration in force; never null.
    std::shared_ptr<const configuration> current() const { return current_; }

    /// Checks a note against the configuration in force without a change.
    /// Empty if it would be accepted, apart from a conflict of its number.
    std::vector<document::fault> check_note(std::string_view text) const;

    /// The accepted note with this number, or null.
    const accepted_note* find_note(std::uint64_t number) const;

    /// What a receiver at this revision needs: nothing, a chain of deltas, or
    /// a snapshot if the chain is no longer held.
    std::vector<configuration_update>
    updates_after(std::uint64_t revision) const;

    /// The whole state, for a snapshot.
    std::vector<std::byte> encode_snapshot() const;

    /// The state of a snapshot; error_kind::malformed_message for anything
    /// that encode_snapshot does not write. Never throws.
    static result<control_state>
    decode_snapshot(std::span<const std::byte> bytes,
                    const control_limits& limits = {});

private:
    command_outcome run(const command& value);
    command_outcome run(const submit_note& action, wall_time proposed);
    command_outcome run(const record_agreement& action, wall_time proposed);
    command_outcome run(const withdraw_agreement& action, wall_time proposed);
    command_outcome run(const set_drain& action, wall_time proposed);
    std::optional<command_outcome>
    find_note_outcome(std::uint64_t number, std::string_view digest) const;
    std::uint64_t put_in_force(configuration next, wall_time proposed);
    void store_note(accepted_note note);
    void drop_oldest_text();
    void drop_lowest_note();

    control_limits limits_;
    std::shared_ptr<const configuration> current_;
    request_table requests_;
    std::map<std::uint64_t, accepted_note> notes_; ///< by number
    std::deque<std::uint64_t> note_texts_; ///< numbers with text, oldest first
    std::size_t note_text_bytes_{0};
    std::uint64_t highest_dropped_note_{0}; ///< highest number that was dropped
    std::deque<configuration_delta> deltas_;
};

} // namespace boragestand::state
